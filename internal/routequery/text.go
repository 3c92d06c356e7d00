package routequery

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText prints the answer for people.
func (a *Answer) WriteText(out io.Writer) error {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(&b, "%-8s %s\n", name, fmt.Sprintf(format, args...))
	}
	r := a.Route
	line("node", "%s, zone %s", a.Node, a.Zone)
	line("config", "%s", a.Config.text())
	line("route", "%s: %s%s, %s, timeout %.0f ms, objective %.0f ms%s%s", r.Name, r.Host, r.Prefix, r.Kind, r.TimeoutMS, r.ObjectiveMS, r.attemptsText(), regionsText(r.AllowedRegions))
	split := make([]string, len(r.Split))
	for i, w := range r.Split {
		split[i] = fmt.Sprintf("%s %d", w.Service, w.Weight)
	}
	line("split", "%s; the next request goes to %s%s", strings.Join(split, ", "), a.Request.Service, a.Request.moveText())
	line("request", "%s", a.Request.text())
	for _, z := range a.Evacuated {
		line("evacuated", "zone %s for %s", z.Zone, seconds(float64(z.AgeMS)))
	}
	line("first", "%s", a.First.text())
	line("second", "%s", a.Second.text())
	line("refusal", "%s", a.Refusal.text())
	if a.Cap != nil {
		line("cap", "%s", a.Cap.text())
	}
	line("retries", "%d left, %d for a request that did not run", a.Retries.Left, a.Retries.LeftNotRun)
	line("copy", "%s", a.Copy.text())
	b.WriteByte('\n')
	if len(a.Targets) == 0 {
		b.WriteString("The node knows no target of the service.\n")
	} else {
		a.writeTargets(&b)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// writeTargets writes the table of the targets. out is a strings.Builder, whose writes do not fail.
func (a *Answer) writeTargets(out *strings.Builder) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TARGET\tNODE\tZONE\tVERSION\tCANDIDATE\tPICKED\tWAIT ms\tRESPONSE ms\tCOST\tLOAD\tREPORT\tMESSAGE\tREASONS")
	for _, t := range a.Targets {
		candidate := "no"
		if t.Candidate {
			candidate = "yes"
		}
		wait, response, cost, load := "-", "-", "-", "-"
		if t.Cost > 0 {
			wait, response, cost = fmt.Sprintf("%.1f", t.WaitMS), fmt.Sprintf("%.1f", t.ResponseMS), fmt.Sprintf("%.3f", t.Cost)
			load = fmt.Sprintf("%.1f/%d", t.Load, t.Slots)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f %%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", t.Target, t.Node, t.Zone, t.Version, candidate, 100*t.PickShare,
			wait, response, cost, load, age(t.ReportAgeMS), age(t.MessageAgeMS), t.reasonsText())
	}
	_ = w.Flush()
}

func (t *Target) reasonsText() string {
	out := make([]string, len(t.Reasons))
	for i, r := range t.Reasons {
		switch {
		case r == "unreachable":
			r = fmt.Sprintf("unreachable for another %.0f ms", t.UnreachableForMS)
		case r == "disturbed":
			r = fmt.Sprintf("disturbed x%.1f", t.Disturbance)
		case r == "failing":
			r = fmt.Sprintf("failing %.0f %%", 100*t.FailureRate)
		case r == "node-unresponsive" && t.OverdueMS > 0:
			r = fmt.Sprintf("node-unresponsive, response overdue by %.0f ms", t.OverdueMS)
		case (r == "rate-limit-used-up" || r == "cold-limit-used-up") && t.RateLimit != nil:
			r = fmt.Sprintf("%s (%.4g a second)", r, *t.RateLimit)
		}
		out[i] = r
	}
	return strings.Join(out, ", ")
}

func age(ms *float64) string {
	if ms == nil {
		return "-"
	}
	return seconds(*ms)
}

func seconds(ms float64) string { return fmt.Sprintf("%.1f s", ms/1000) }

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return ", only regions " + strings.Join(regions, " and ")
}

func (r *Route) attemptsText() string {
	if r.MaxAttempts == 0 {
		return ""
	}
	return fmt.Sprintf(", at most %d attempts", r.MaxAttempts)
}

func (c *Config) text() string {
	out := fmt.Sprintf("version %d, received %s ago", c.Version, seconds(float64(c.AgeMS)))
	if c.ProofAgeMS > 0 {
		out += fmt.Sprintf(", known to be the newest %s ago", seconds(float64(c.ProofAgeMS)))
	} else {
		out += ", not known to be the newest"
	}
	if c.StoreLost {
		out += ", the store does not respond"
	}
	return out
}

func (r *Request) moveText() string {
	if !r.MoveOpen {
		return ""
	}
	return fmt.Sprintf("; a move is open, %.1f %% go to the new version", 100*r.NewShare)
}

func (r *Request) text() string {
	out := "no organisation"
	if r.Organisation != "" {
		out = "organisation " + r.Organisation + regionsText(r.AllowedRegions)
	}
	measured := ""
	if !r.Measured {
		measured = " (assumed, none was measured)"
	}
	return fmt.Sprintf("%s, priority %d, attempt %s, expected %.1f ms at a target%s, useful within %.0f ms, %d bytes with the response",
		out, r.Priority, r.Attempt, r.ServiceTimeMS, measured, r.AnswerWithinMS, r.Bytes)
}

func (c *Choice) text() string {
	if c == nil {
		return "none"
	}
	admitted := "admitted"
	if !c.Admitted {
		admitted = "not expected to be admitted"
	}
	return fmt.Sprintf("%s at node %s, zone %s, expected wait %.1f ms, %s", c.Target, c.Node, c.Zone, c.WaitMS, admitted)
}

func (r *Refusal) text() string {
	if r == nil {
		return "none expected"
	}
	out := fmt.Sprintf("%d %s", r.Status, r.Reason)
	switch {
	case r.RetryAfterMaxS > r.RetryAfterS:
		out += fmt.Sprintf(", Retry-After %.3f to %.3f s", r.RetryAfterS, r.RetryAfterMaxS)
	case r.RetryAfterS > 0:
		out += fmt.Sprintf(", Retry-After %.3f s", r.RetryAfterS)
	}
	if r.Expected {
		out += ", expected of the target's node"
	}
	return out
}

func (c *Cap) text() string {
	out := fmt.Sprintf("%.4g a second, burst %.4g: %s", c.PerSecond, c.Burst, c.Verdict)
	if c.Allocator == "" {
		out += ", no allocator"
	} else {
		out += ", allocator " + c.Allocator
	}
	if c.AllocatorTokens != nil {
		out += fmt.Sprintf(", %.1f tokens there (%.0f %% of the cap leased)", *c.AllocatorTokens, 100**c.LeasedShare)
	}
	out += fmt.Sprintf(", %d tokens at hand", c.AtHand)
	if c.Lent {
		out += ", own share lent"
	} else {
		out += fmt.Sprintf(", own share %.1f %% with %.1f tokens", 100*c.OwnShare, c.OwnTokens)
	}
	if c.NextTokenMS > 0 {
		out += fmt.Sprintf(", next token in %.0f ms", c.NextTokenMS)
	}
	return out
}

func (c *Copy) text() string {
	switch {
	case c.Possible:
		return fmt.Sprintf("possible after %.1f ms, to %s", c.AfterMS, c.Target)
	case c.AfterMS > 0:
		return fmt.Sprintf("none after %.1f ms: %s", c.AfterMS, c.Reason)
	default:
		return "none: " + c.Reason
	}
}
