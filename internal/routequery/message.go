package routequery

// Method is the RPC method of the question.
const Method = "route"

// Question describes a request that is not sent. It never holds a key.
type Question struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	// Bytes is the size of the body.
	Bytes int64 `json:"bytes,omitempty"`
	// Organisation is the name of the organisation that sends the request, "" for none.
	Organisation string `json:"organisation,omitempty"`
}

// Problem is why a node cannot tell where a request would go.
type Problem string

// Problems.
const (
	ProblemNoConfiguration Problem = "no-configuration"
	ProblemNoRoute         Problem = "no-route"
	ProblemOrganisation    Problem = "unknown-organisation"
	ProblemRequest         Problem = "bad-request"
)

// Answer is what a node would do with a request. Times are in milliseconds. Ages are those at the node
// when it answered.
type Answer struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Problem is "" if the question has an answer.
	Problem Problem `json:"problem,omitempty"`
	Config  *Config `json:"config,omitempty"`
	Route   *Route  `json:"route,omitempty"`
	Request Request `json:"request"`
	// Targets holds all known targets of the service that is picked.
	Targets []Target `json:"targets"`
	// First is where the request would go, Second where it would go if the first refused it.
	First     *Choice  `json:"first"`
	Second    *Choice  `json:"second"`
	Refusal   *Refusal `json:"refusal"`
	Cap       *Cap     `json:"cap,omitempty"`
	Retries   Retries  `json:"retries"`
	Copy      Copy     `json:"copy"`
	Evacuated []Zone   `json:"evacuated_zones,omitempty"`
}

// Config is the configuration in force.
type Config struct {
	Version uint64 `json:"version"`
	// AgeMS is the time since the node received it, and ProofAgeMS the age of the last proof that no
	// newer one was confirmed, 0 if the node knows none.
	AgeMS      int64 `json:"age_ms"`
	ProofAgeMS int64 `json:"proof_age_ms,omitempty"`
	// StoreLost is set while the store does not respond to the node.
	StoreLost bool `json:"store_lost,omitempty"`
}

// Route is the route of the request.
type Route struct {
	Name           string   `json:"name"`
	Host           string   `json:"host"`
	Prefix         string   `json:"prefix"`
	Kind           string   `json:"kind"`
	TimeoutMS      float64  `json:"timeout_ms"`
	ObjectiveMS    float64  `json:"objective_ms"`
	MaxAttempts    int      `json:"max_attempts"`
	Public         bool     `json:"public,omitempty"`
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Split          []Weight `json:"split"`
}

// Weight is the weight of a service in the split of a route.
type Weight struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Request is what the node expects of the request.
type Request struct {
	// Service is the service that the split gives the next request of the route.
	Service        string   `json:"service,omitempty"`
	Organisation   string   `json:"organisation,omitempty"`
	AllowedRegions []string `json:"organisation_regions,omitempty"`
	Priority       int      `json:"priority"`
	// Attempt tells whether the node refused an equal request recently: then this one counts as its
	// repetition.
	Attempt string `json:"attempt,omitempty"`
	// ServiceTimeMS is the expected time at a target. It is a third of the objective until Measured.
	ServiceTimeMS float64 `json:"service_time_ms"`
	Measured      bool    `json:"service_time_measured"`
	// AnswerWithinMS is the time in which the response is useful, Bytes the expected size of the
	// request and its response.
	AnswerWithinMS float64 `json:"answer_within_ms"`
	Bytes          int64   `json:"bytes"`
	// NewShare is the share of the requests that go to the new version while a move is open.
	NewShare float64 `json:"new_share,omitempty"`
	MoveOpen bool    `json:"move_open,omitempty"`
}

// Target is a target of the service.
type Target struct {
	Target  string `json:"target"`
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// Candidate is set if the request may be sent there. Reasons tell why not, or what counts against
	// it.
	Candidate bool     `json:"candidate"`
	Reasons   []string `json:"reasons,omitempty"`
	// Admitted is set if the target is expected to admit the request.
	Admitted bool `json:"expected_admitted"`
	// PickShare is the share of equal requests that would be sent there first now.
	PickShare float64 `json:"pick_share"`
	// WaitMS is the expected queueing time, ResponseMS the expected response time with the margins of
	// admission, and Cost what the choice compares; a cost of 1 is a response at the objective.
	WaitMS     float64 `json:"wait_ms"`
	ResponseMS float64 `json:"response_ms"`
	Cost       float64 `json:"cost"`
	Slots      int     `json:"slots"`
	// Load is the number of requests at the target as far as known, OwnInFlight those of this node,
	// and Room how many it takes while it sheds load, 0 for its slots.
	Load        float64 `json:"load"`
	OwnInFlight int     `json:"own_in_flight"`
	Room        int     `json:"room,omitempty"`
	FailureRate float64 `json:"failure_rate"`
	// Disturbance is by how many times longer than usual work is expected to take.
	Disturbance float64 `json:"disturbance"`
	// RateLimit is a limit in requests per second of all nodes, and RateLeft what this node may still
	// send of it; both are absent without a limit.
	RateLimit *float64 `json:"rate_limit_per_s,omitempty"`
	RateLeft  *float64 `json:"rate_left,omitempty"`
	// UnreachableForMS is how long the target is still skipped since it could not be reached.
	UnreachableForMS float64 `json:"unreachable_for_ms,omitempty"`
	// OverdueMS is how long the node of the target has owed a response.
	OverdueMS float64 `json:"overdue_ms,omitempty"`
	// ReportAgeMS is the age of the last load report, absent without one, and MessageAgeMS the time
	// since the last message of its node, absent for the node that answers.
	ReportAgeMS  *float64 `json:"report_age_ms,omitempty"`
	MessageAgeMS *float64 `json:"message_age_ms,omitempty"`
}

// Choice is a target that the request would be sent to.
type Choice struct {
	Target string  `json:"target"`
	Node   string  `json:"node"`
	Zone   string  `json:"zone"`
	WaitMS float64 `json:"wait_ms"`
	// Admitted is set if the target is expected to admit the request.
	Admitted bool `json:"expected_admitted"`
}

// Refusal is an answer of the mesh in place of that of a target.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// Expected is set if the node of the target decides, and refuses if the estimate is right.
	// Otherwise this node refuses the request.
	Expected bool `json:"expected_of_target,omitempty"`
	// RetryAfterS and RetryAfterMaxS are the bounds of Retry-After in seconds, 0 without one.
	RetryAfterS    float64 `json:"retry_after_s,omitempty"`
	RetryAfterMaxS float64 `json:"retry_after_max_s,omitempty"`
}

// Cap is what the node knows of the usage cap of the organisation.
type Cap struct {
	PerSecond float64 `json:"requests_per_s"`
	Burst     float64 `json:"burst"`
	// Verdict is admitted, waiting (the allocator is asked), over-cap or unknown.
	Verdict   string `json:"verdict"`
	Allocator string `json:"allocator"`
	// AtHand is the number of tokens that the node got in advance. AllocatorTokens and LeasedShare are
	// known at the allocator only.
	AtHand          int      `json:"tokens_at_hand"`
	AllocatorTokens *float64 `json:"allocator_tokens,omitempty"`
	LeasedShare     *float64 `json:"leased_share,omitempty"`
	// OwnShare is the share of the cap that is this node's own, Lent is set while it is lent, and
	// OwnTokens is what is left of it.
	OwnShare    float64 `json:"own_share"`
	Lent        bool    `json:"own_share_lent"`
	OwnTokens   float64 `json:"own_tokens"`
	NextTokenMS float64 `json:"next_token_ms,omitempty"`
}

// Retries is what is left of the retry budget of the service at this node.
type Retries struct {
	// Left is for a request that may have run, LeftNotRun for one that did not, whose caller can be
	// told to come back.
	Left       int `json:"left"`
	LeftNotRun int `json:"left_if_not_run"`
}

// Copy tells whether a copy of the request could be sent to a second target.
type Copy struct {
	Possible bool `json:"possible"`
	// Reason is why not.
	Reason string `json:"reason,omitempty"`
	// AfterMS is the time after which a copy is sent, 0 if none is, and Target where it would go.
	AfterMS float64 `json:"after_ms,omitempty"`
	Target  string  `json:"target,omitempty"`
}

// Zone is an evacuated zone.
type Zone struct {
	Zone  string `json:"zone"`
	AgeMS int64  `json:"age_ms"`
}
