package process_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heathercroft.example/heathercroft/internal/testbed"
	"heathercroft.example/heathercroft/pkg/idempotency"
	"heathercroft.example/heathercroft/pkg/state"
)

// Times of key slots, short so that a lease lapses within a test.
const (
	keyLease    = 3 * time.Second
	keyMargin   = time.Second
	keyHorizon  = 5 * time.Second
	keySettings = "[keys]\nlease = \"3s\"\nmargin = \"1s\"\nhorizon = \"5s\"\n"
	keysAtOnce  = 12
	zoneCount   = 3
)

// keyedFleet starts six nodes in three zones and waits until every key slot has an owner.
func keyedFleet(t *testing.T) *fleet {
	m := newFleet(t, keySettings)
	m.add("courier", "v1", zoneCount, 2)
	m.configure("courier")
	require.NoError(t, testbed.WaitFor(generous, func() error {
		s, _ := m.reduce()
		for i, slot := range s.KeySlots {
			if slot.Epoch == 0 || slot.Released {
				return fmt.Errorf("slot %d has no owner", i)
			}
		}
		return nil
	}))
	return m
}

// keysOf returns keys that a member owns by the log.
func (m *fleet) keysOf(member *testbed.Member, prefix string, count int) []string {
	m.t.Helper()
	s, _ := m.reduce()
	var keys []string
	for i := 0; len(keys) < count && i < 10_000; i++ {
		key := fmt.Sprintf("%s-%d", prefix, i)
		if l, ok := idempotency.Locate(key, &s.KeySlots); ok && string(l.Node) == member.Name {
			keys = append(keys, key)
		}
	}
	require.Len(m.t, keys, count, "member %s owns too few slots", member.Name)
	return keys
}

// owner returns a member of a zone that owns at least one slot.
func (m *fleet) owner(zone byte) *testbed.Member {
	m.t.Helper()
	s, _ := m.reduce()
	for _, member := range m.zone(zone) {
		for _, slot := range s.KeySlots {
			if slot.Owner == member.Name {
				return member
			}
		}
	}
	m.t.Fatalf("no owner in zone %d", zone)
	return nil
}

// sendKeys sends each key again and again through the given nodes in turn, until
// it is answered or the horizon of repeats has passed.
func sendKeys(l *attempts, keys []string, via []*testbed.Member, path string) *sync.WaitGroup {
	var all sync.WaitGroup
	for i, key := range keys {
		all.Add(1)
		go func() {
			defer all.Done()
			start := time.Now()
			for n := 0; time.Since(start) < keyHorizon; n++ {
				left := keyHorizon - time.Since(start)
				a := post(via[(i+n)%len(via)], path, key, min(left, 2*time.Second), nil)
				l.add(a)
				if a.answered() {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	return &all
}

func (m *fleet) others(member *testbed.Member) []*testbed.Member {
	var list []*testbed.Member
	for _, other := range m.Members() {
		if other != member {
			list = append(list, other)
		}
	}
	return list
}

// waitOwnedBy waits until the slots of the keys belong to other sessions than before.
func (m *fleet) waitTakenOver(keys []string, before state.State) {
	m.t.Helper()
	require.NoError(m.t, testbed.WaitFor(generous, func() error {
		s, _ := m.reduce()
		for _, key := range keys {
			if slot := state.SlotOf(key); s.KeySlots[slot].Epoch == before.KeySlots[slot].Epoch {
				return fmt.Errorf("slot %d was not taken over", slot)
			}
		}
		return nil
	}))
}

func (m *fleet) requireKept(l *attempts) {
	m.t.Helper()
	keys, requests := m.executions()
	l.mu.Lock()
	defer l.mu.Unlock()
	m.t.Log(summary(l.list))
	require.Empty(m.t, brokenPromises(l.list, keys, requests))
}

// work makes the executions long enough for a fault to hit them.
const work = "/courier/charge?work_ms=300"

// TestPausedKeyOwnerDoesNotRunAKeyTwice guards against an owner that wakes up
// after its lease and executes, or lets execute, what a successor may run too (G7).
func TestPausedKeyOwnerDoesNotRunAKeyTwice(t *testing.T) {
	t.Parallel()
	m := keyedFleet(t)
	victim := m.owner(1)
	keys := m.keysOf(victim, "paused", keysAtOnce)
	before, _ := m.reduce()
	l := &attempts{}
	// Half of the keys are under way when the owner stops, the others come while it is stopped.
	early := sendKeys(l, keys[:keysAtOnce/2], m.others(victim), work)
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, victim.Node.Pause())
	late := sendKeys(l, keys[keysAtOnce/2:], m.others(victim), work)
	m.waitTakenOver(keys, *before)
	last := sendKeys(l, m.keysOfSlots("woken", keys, keysAtOnce), m.others(victim), work)
	require.NoError(t, victim.Node.Continue())
	early.Wait()
	late.Wait()
	last.Wait()
	m.requireKept(l)
	m.requireKeyedService("after-pause")
}

// keysOfSlots returns new keys in the slots of other keys.
func (m *fleet) keysOfSlots(prefix string, like []string, count int) []string {
	slots := map[int]bool{}
	for _, key := range like {
		slots[state.SlotOf(key)] = true
	}
	var keys []string
	for i := 0; len(keys) < count && i < 100_000; i++ {
		if key := fmt.Sprintf("%s-%d", prefix, i); slots[state.SlotOf(key)] {
			keys = append(keys, key)
		}
	}
	require.Len(m.t, keys, count)
	return keys
}

// requireKeyedService demands that new keys of all slots run again.
func (m *fleet) requireKeyedService(prefix string) {
	m.t.Helper()
	for i := range 10 {
		n := 0
		require.NoError(m.t, testbed.WaitFor(generous, func() error {
			n++
			a := post(m.Members()[i%len(m.Members())], "/courier/charge", fmt.Sprintf("%s-%d-%d", prefix, i, n), 2*time.Second, nil)
			if !a.answered() {
				return fmt.Errorf("through %s: %d %s %s %v", a.node, a.status, a.outcome, a.reason, a.err)
			}
			return nil
		}))
	}
}

// TestKilledKeyOwnerDoesNotRunAKeyTwice guards against a successor that runs
// keys which the killed owner may have run (G7), and against one that never serves.
func TestKilledKeyOwnerDoesNotRunAKeyTwice(t *testing.T) {
	t.Parallel()
	m := keyedFleet(t)
	victim := m.owner(2)
	keys := m.keysOf(victim, "killed", keysAtOnce)
	before, _ := m.reduce()
	l := &attempts{}
	early := sendKeys(l, keys[:keysAtOnce/2], m.others(victim), work)
	time.Sleep(150 * time.Millisecond)
	victim.Node.Kill()
	late := sendKeys(l, keys[keysAtOnce/2:], m.others(victim), work)
	// The restarted node must not take its earlier session for its own.
	require.NoError(t, victim.StartNode())
	m.waitTakenOver(keys, *before)
	early.Wait()
	late.Wait()
	m.requireKept(l)
	m.requireKeyedService("after-kill")
}

// TestCutOffKeyOwnerDoesNotRunAKeyTwice guards against two owners of a key on
// both sides of a cut (G7).
func TestCutOffKeyOwnerDoesNotRunAKeyTwice(t *testing.T) {
	t.Parallel()
	m := keyedFleet(t)
	victim := m.owner(3)
	keys := m.keysOf(victim, "cut", keysAtOnce)
	before, _ := m.reduce()
	l := &attempts{}
	early := sendKeys(l, keys[:keysAtOnce/2], m.Members(), work)
	time.Sleep(150 * time.Millisecond)
	m.cut(3, zoneCount)
	late := sendKeys(l, keys[keysAtOnce/2:], m.Members(), work)
	m.waitTakenOver(keys, *before)
	inside := sendKeys(l, m.keysOfSlots("both-sides", keys, keysAtOnce), m.Members(), work)
	inside.Wait()
	early.Wait()
	late.Wait()
	m.heal(3, zoneCount)
	m.requireKeyedService("after-cut")
	m.requireKept(l)
}

// TestStoppedKeyOwnerHandsOver guards against stored answers that are lost on a
// graceful stop: a repeat must get the first answer without a second execution (G7, G9).
func TestStoppedKeyOwnerHandsOver(t *testing.T) {
	t.Parallel()
	m := keyedFleet(t)
	victim := m.owner(1)
	others := m.others(victim)
	keys := m.keysOf(victim, "handed", 6)
	l := &attempts{}
	first := map[string]string{}
	for i, key := range keys {
		a := post(others[i%len(others)], work, key, 2*time.Second, nil)
		l.add(a)
		require.True(t, a.answered(), "%+v", a)
		first[key] = a.body
	}
	started := time.Now()
	require.NoError(t, victim.Node.Terminate(generous))
	for i, key := range keys {
		require.NoError(t, testbed.WaitFor(keyHorizon-time.Since(started), func() error {
			a := post(others[(i+1)%len(others)], work, key, 2*time.Second, nil)
			l.add(a)
			if !a.answered() {
				return fmt.Errorf("key %s through %s: %d %s %s %v", key, a.node, a.status, a.outcome, a.reason, a.err)
			}
			require.True(t, a.replayed, "%+v", a)
			require.Equal(t, first[key], a.body)
			return nil
		}))
	}
	m.requireKept(l)
}

// faultsSeed makes the order of faults repeatable.
const faultsSeed = 11

// TestKeyedLoadUnderFaults guards against a second execution, a mixed up or a
// short answer when nodes pause, die, stop and are cut off in turn under keyed
// load whose calls are repeated through other nodes (G5, G6, G7).
func TestKeyedLoadUnderFaults(t *testing.T) {
	t.Parallel()
	m := keyedFleet(t)
	via := []*testbed.Member{m.zone(1)[0], m.zone(2)[0], m.zone(3)[0]}
	run := m.load(via, 120, 20*time.Second, "paths = [\"/courier\"]\ndeadline = \"4s\"\n[mix]\nread = 0.1\nkeyed = 0.8\nupload = 0.1\nupload_bytes = 100000\nconcurrent_share = 0.3\nrepeat_share = 0.3")
	random := rand.New(rand.NewPCG(faultsSeed, 0))
	victims := []*testbed.Member{m.zone(1)[1], m.zone(2)[1], m.zone(3)[1]}
	for begun := time.Now(); time.Since(begun) < 18*time.Second; time.Sleep(300 * time.Millisecond) {
		victim := victims[random.IntN(len(victims))]
		switch random.IntN(4) {
		case 0:
			require.NoError(t, victim.Node.Pause())
			time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
			require.NoError(t, victim.Node.Continue())
		case 1:
			victim.Node.Kill()
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			require.NoError(t, victim.StartNode())
		case 2:
			require.NoError(t, victim.Node.Terminate(generous))
			require.NoError(t, victim.StartNode())
		default:
			zone := byte(1 + random.IntN(zoneCount))
			m.cut(zone, zoneCount)
			time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
			m.heal(zone, zoneCount)
		}
	}
	report := m.report(run)
	t.Logf("%+v %+v", report.Node, report.Duplicates)
	requireClean(t, report)
	m.requireKeyedService("after-faults")
}
