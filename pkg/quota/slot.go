package quota

import (
	"math"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"heathercroft.example/heathercroft/pkg/mesh"
)

// SlotCount is the number of slots. An allocator renews the leases of all its slots with one
// message, so that the number of slots bounds the number of nodes that send lease messages.
const SlotCount = 8

// Slot is a group of organisations with the same allocator.
type Slot int

// SlotOf returns the slot of an organisation.
func SlotOf(organisation string) Slot {
	return Slot(xxhash.Sum64String("quota-slot\x00"+organisation) % SlotCount)
}

// SlotSet is a set of slots.
type SlotSet uint32

func (s SlotSet) has(slot Slot) bool { return s&(1<<slot) != 0 }

func (s SlotSet) with(slot Slot) SlotSet { return s | 1<<slot }

// Len returns the number of slots in the set.
func (s SlotSet) Len() int { return bits.OnesCount32(uint32(s)) }

// Slots returns the slots of the set in order.
func (s SlotSet) Slots() []Slot {
	var out []Slot
	for slot := range Slot(SlotCount) {
		if s.has(slot) {
			out = append(out, slot)
		}
	}
	return out
}

// defaultWeight is the weight of a node whose link bandwidth is not known. Other parts of the
// system also take such a link for a fast one.
const defaultWeight = 100

// score returns the weighted rendezvous score of a node for a slot. The probability of the
// highest score is proportional to the weight.
func score(slot Slot, node mesh.NodeID, weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = defaultWeight
	}
	h := xxhash.Sum64String("quota-allocator\x00" + strconv.Itoa(int(slot)) + "\x00" + string(node))
	// The 53 highest bits make a number between 0 and 1, without both.
	x := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(x)
}
