package settings

import "net/netip"

// Advertise holds the addresses at which other nodes reach this node, if they
// differ from the listen addresses.
type Advertise struct {
	RPC  Address `toml:"rpc"`
	Call Address `toml:"call"`
}

// AdvertisedRPC returns the address at which other nodes reach the jsonrpc2
// listener.
func (n Node) AdvertisedRPC() netip.AddrPort {
	if n.Advertise.RPC.IsValid() {
		return n.Advertise.RPC.AddrPort
	}
	return n.Listen.RPC.AddrPort
}

// AdvertisedCall returns the address at which other nodes reach the listener for
// forwarded calls.
func (n Node) AdvertisedCall() netip.AddrPort {
	if n.Advertise.Call.IsValid() {
		return n.Advertise.Call.AddrPort
	}
	return n.Listen.Call.AddrPort
}
