package distribution

import "heathercroft.example/heathercroft/pkg/record"

// Machine is the distribution logic of one node. It is owned by one goroutine.
type Machine struct {
	cfg Config
}

// Status is what the machine knows about itself.
type Status struct {
	// Applied is the revision in force, Have the newest offset up to which all
	// entries were seen.
	Applied, Have record.Revision
	NACK          string
	Ready         bool
	Reason        string
	Reader        bool
	// PlatformOut is set while reads fail or, on a node that does not read,
	// while it cannot know.
	PlatformOut bool
}

// New returns a machine at revision 0.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Step handles one event and returns the effects in the order in which they
// have to be carried out.
func (m *Machine) Step(event Event) []Effect {
	_ = event.now()
	return nil
}

// Status returns the current status.
func (m *Machine) Status() Status { return Status{} }
