package idempotency

import (
	"strings"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// mintedPrefix is the prefix of keys minted by nodes. Callers must not generate such keys.
const mintedPrefix = "hc1."

// MintedKey is a key that names its owner: hc1.<node>.<session>.<random>.
type MintedKey struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	Random  string
}

// Mint returns a key that is owned by the node session permanently. random must be unique
// within the session and must not contain a dot.
func Mint(node mesh.NodeID, session mesh.SessionID, random string) string {
	return mintedPrefix + string(node) + "." + string(session) + "." + random
}

// ParseMinted parses a minted key. Node names may contain dots, sessions must not.
func ParseMinted(key string) (MintedKey, bool) {
	rest, ok := strings.CutPrefix(key, mintedPrefix)
	if !ok {
		return MintedKey{}, false
	}
	end := strings.LastIndexByte(rest, '.')
	if end < 0 {
		return MintedKey{}, false
	}
	middle := strings.LastIndexByte(rest[:end], '.')
	if middle <= 0 || middle+1 == end || end+1 == len(rest) {
		return MintedKey{}, false
	}
	return MintedKey{
		Node: mesh.NodeID(rest[:middle]), Session: mesh.SessionID(rest[middle+1 : end]), Random: rest[end+1:],
	}, true
}
