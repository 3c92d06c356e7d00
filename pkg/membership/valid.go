package membership

// maxIDBytes bounds received identifiers, so that a malicious sender cannot make
// updates too large to forward.
const maxIDBytes = 128

// valid reports whether a message identifies its sender and the sender's address.
func (msg Message) valid() bool {
	h := msg.From
	return validID(string(h.Node)) && validID(string(h.Session)) && validID(string(h.Zone)) &&
		h.RPCAddress.IsValid() && len(h.NACK) <= MaxNACKBytes
}

// valid reports whether an update is complete and can be forwarded.
func (u Update) valid() bool {
	if !validID(string(u.Node)) || !validID(string(u.Session)) || precedence[u.State] == 0 {
		return false
	}
	if u.State == Dead {
		return u.Detail == nil
	}
	d := u.Detail
	return d != nil && d.Info.ID == u.Node && d.Info.Session == u.Session &&
		validID(string(d.Info.Zone)) && d.Info.RPCAddress.IsValid() && d.Info.RPCAddress.Port() != 0 &&
		(d.Target == nil || d.Target.Validate() == nil) && u.textBytes() <= maxTextBytes
}

// maxTextBytes bounds the text in an update. The rest of its encoding takes up to
// 450 bytes.
const maxTextBytes = MaxUpdateBytes - 450

func (u Update) textBytes() int {
	d := u.Detail
	n := 2*(len(u.Node)+len(u.Session)) + len(d.Info.Zone) + len(d.Info.Region) + len(d.NACK)
	if d.Target != nil {
		n += len(d.Target.Service) + len(d.Target.Version)
	}
	return n
}

func validID(s string) bool { return s != "" && len(s) <= maxIDBytes }
