package membership

// Machine is the membership view of one node. It is owned by one goroutine.
type Machine struct {
	cfg Config
}

// New returns a machine that knows only the local node.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Step handles one event and returns the effects in the order in which they
// have to be carried out.
func (m *Machine) Step(event Event) []Effect {
	_ = event.now()
	return nil
}

// Generation grows whenever Endpoints, Members or Zones change in anything but
// a revision or a time of contact.
func (m *Machine) Generation() uint64 { return 0 }

// Endpoints returns the targets of all members that are not dead, the local
// one included, ordered by node.
func (m *Machine) Endpoints() []Endpoint { return nil }

// Members returns all known members, the local one and dead ones included,
// ordered by zone and node.
func (m *Machine) Members() []Member { return nil }

// Zones returns the known zones in order of their names.
func (m *Machine) Zones() []ZoneStatus { return nil }
