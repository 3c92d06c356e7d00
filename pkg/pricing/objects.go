package pricing

import (
	"fmt"

	"heathercroft.example/heathercroft/pkg/record"
)

// footprint lists the objects that a change writes, and those that its validity depends
// on.
type footprint struct {
	writes, reads []string
}

func service(name string) string         { return "service/" + name }
func route(name string) string           { return "route/" + name }
func rollout(id record.RolloutID) string { return fmt.Sprintf("rollout/%d", id) }

func footprintOf(b record.Body) footprint {
	switch b := b.(type) {
	case record.PutService:
		return footprint{writes: []string{service(b.Name)}}
	case record.DeleteService:
		return footprint{writes: []string{service(b.Name)}}
	case record.PutVersion:
		return footprint{writes: []string{service(b.Service)}}
	case record.DeleteVersion:
		return footprint{writes: []string{service(b.Service)}}
	case record.PutRoute:
		return footprint{writes: []string{route(b.Name)}, reads: []string{service(b.Service)}}
	case record.DeleteRoute:
		return footprint{writes: []string{route(b.Name)}}
	case record.StartRollout:
		return footprint{writes: []string{service(b.Service)}}
	case record.PauseRollout:
		return footprint{writes: []string{rollout(b.Rollout)}}
	case record.ResumeRollout:
		return footprint{writes: []string{rollout(b.Rollout)}}
	case record.RollBackRollout:
		return footprint{writes: []string{rollout(b.Rollout)}}
	case record.Batch:
		var all footprint
		for _, item := range b.Items {
			f := footprintOf(item.Body)
			all.writes = append(all.writes, f.writes...)
			all.reads = append(all.reads, f.reads...)
		}
		return all
	default:
		// Any other body is assumed to write everything of its kind.
		return footprint{writes: []string{"kind/" + string(b.Kind())}}
	}
}

// objectSet is a set of written and read objects.
type objectSet struct {
	written, read map[string]bool
}

func newObjectSet() objectSet {
	return objectSet{written: map[string]bool{}, read: map[string]bool{}}
}

func (o objectSet) add(f footprint) {
	for _, w := range f.writes {
		o.written[w] = true
	}
	for _, r := range f.reads {
		o.read[r] = true
	}
}

// overwrites reports whether the change writes an object that is already written.
func (o objectSet) overwrites(f footprint) bool {
	for _, w := range f.writes {
		if o.written[w] {
			return true
		}
	}
	return false
}

// conflicts reports whether the order of the change and the set matters.
func (o objectSet) conflicts(f footprint) bool {
	if o.overwrites(f) {
		return true
	}
	for _, w := range f.writes {
		if o.read[w] {
			return true
		}
	}
	for _, r := range f.reads {
		if o.written[r] {
			return true
		}
	}
	return false
}
