package idempotency

import (
	"strings"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// mintedPrefix starts the keys that a node mints. Callers must not invent such keys.
const mintedPrefix = "hc1."

// MintedKey is a key that names its owner: hc1.<node>.<session>.<random>.
type MintedKey struct {
	Node    mesh.NodeID
	Session mesh.SessionID
	Random  string
}

// Mint returns a key owned by a node session for ever. random must be unique
// in the session and must hold no dot.
func Mint(node mesh.NodeID, session mesh.SessionID, random string) string {
	return mintedPrefix + string(node) + "." + string(session) + "." + random
}

// ParseMinted splits a minted key. Node names may hold dots; sessions may not.
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
