package callpath

import (
	"expvar"
	"time"
)

// Metrics are the counters of the call path.
type Metrics struct {
	vars expvar.Map

	calls, retries, budgetRefusals       expvar.Int
	aborted, replayed, ejections         expvar.Int
	malformedSignals                     expvar.Int
	targetRequests, uploads              expvar.Int
	targetConnections, brokenConnections expvar.Int
	queueWaitMicros, requestBytes        expvar.Int
	responseBytes, callMicros, keyed     expvar.Int
	inFlightCalls, inFlightAtTarget      expvar.Int
	refusals, attempts, keyedResults     expvar.Map
}

func newMetrics() *Metrics {
	m := &Metrics{}
	m.vars.Init()
	for name, v := range map[string]expvar.Var{
		"calls_total":                           &m.calls,
		"call_duration_microseconds_total":      &m.callMicros,
		"calls_in_flight":                       &m.inFlightCalls,
		"retries_total":                         &m.retries,
		"retries_over_budget_total":             &m.budgetRefusals,
		"responses_aborted_total":               &m.aborted,
		"responses_replayed_total":              &m.replayed,
		"endpoint_ejections_total":              &m.ejections,
		"target_requests_total":                 &m.targetRequests,
		"target_signals_malformed_total":        &m.malformedSignals,
		"target_requests_in_flight":             &m.inFlightAtTarget,
		"target_uploads_total":                  &m.uploads,
		"target_connections_opened_total":       &m.targetConnections,
		"target_connections_broken_total":       &m.brokenConnections,
		"target_queue_wait_microseconds_total":  &m.queueWaitMicros,
		"request_body_bytes_total":              &m.requestBytes,
		"response_body_bytes_total":             &m.responseBytes,
		"keyed_calls_total":                     &m.keyed,
		"refusals_total_by_code":                m.refusals.Init(),
		"attempts_total_by_outcome":             m.attempts.Init(),
		"keyed_executions_total_by_result_kind": m.keyedResults.Init(),
	} {
		m.vars.Set(name, v)
	}
	return m
}

// Var returns the counters for publication under one expvar name. Names include
// their unit; those without one are counts.
func (m *Metrics) Var() expvar.Var { return &m.vars }

func (m *Metrics) callEnded(started, now time.Duration) {
	m.callMicros.Add((now - started).Microseconds())
	m.inFlightCalls.Add(-1)
}
