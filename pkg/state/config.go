package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"heathercroft.example/heathercroft/pkg/record"
)

// maxNameLength is the maximum length of a name in bytes. Names appear in headers
// and metrics.
const maxNameLength = 128

// ValidName reports whether the name of a service, version or route can be used
// in paths, headers and the query language.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}

// atExpectedRevision reports whether an object has the revision that the author
// of a record expects. An object that an earlier item of the same batch changed
// has the revision of the batch; its expected revision was checked with that item.
func (s *State) atExpectedRevision(current, expected record.Revision) bool {
	return current == expected || (current != 0 && current == s.Revision)
}

func (s *State) putService(rec record.Record, b record.PutService) Outcome {
	if !ValidName(b.Name) || !ValidName(b.Version) {
		return rejected(fmt.Sprintf("service %q or version %q is no valid name", b.Name, b.Version))
	}
	old, exists := s.Services[b.Name]
	if !s.atExpectedRevision(old.Revision, rec.ExpectedRevision) {
		return conflict(fmt.Sprintf("service %q is at revision %d, not %d", b.Name, old.Revision, rec.ExpectedRevision), old.Revision)
	}
	if exists {
		return rejected(fmt.Sprintf("service %q exists; add a version and start a rollout to change it", b.Name))
	}
	s.Services[b.Name] = Service{
		Name:     b.Name,
		Versions: []string{b.Version},
		Weights:  map[string]record.BasisPoints{b.Version: record.FullWeight},
		Revision: s.Revision,
	}
	return accepted()
}

func (s *State) deleteService(rec record.Record, b record.DeleteService) Outcome {
	svc, ok := s.Services[b.Name]
	if !ok {
		return rejected(fmt.Sprintf("service %q does not exist", b.Name))
	}
	if !s.atExpectedRevision(svc.Revision, rec.ExpectedRevision) {
		return conflict(fmt.Sprintf("service %q is at revision %d, not %d", b.Name, svc.Revision, rec.ExpectedRevision), svc.Revision)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		if s.Routes[name].Service == b.Name {
			return rejected(fmt.Sprintf("route %q points at service %q", name, b.Name))
		}
	}
	if r, ok := s.OpenRollout(b.Name); ok {
		return rejected(fmt.Sprintf("rollout %d of service %q is open", r.ID, b.Name))
	}
	delete(s.Services, b.Name)
	return accepted()
}

func (s *State) putVersion(rec record.Record, b record.PutVersion) Outcome {
	if !ValidName(b.Version) {
		return rejected(fmt.Sprintf("version %q is no valid name", b.Version))
	}
	svc, ok := s.Services[b.Service]
	if !ok {
		return rejected(fmt.Sprintf("service %q does not exist", b.Service))
	}
	if !s.atExpectedRevision(svc.Revision, rec.ExpectedRevision) {
		return conflict(fmt.Sprintf("service %q is at revision %d, not %d", b.Service, svc.Revision, rec.ExpectedRevision), svc.Revision)
	}
	if slices.Contains(svc.Versions, b.Version) {
		return rejected(fmt.Sprintf("version %q of service %q exists", b.Version, b.Service))
	}
	svc.Versions = append(slices.Clone(svc.Versions), b.Version)
	svc.Revision = s.Revision
	s.Services[b.Service] = svc
	return accepted()
}

func (s *State) deleteVersion(rec record.Record, b record.DeleteVersion) Outcome {
	svc, ok := s.Services[b.Service]
	if !ok || !slices.Contains(svc.Versions, b.Version) {
		return rejected(fmt.Sprintf("version %q of service %q does not exist", b.Version, b.Service))
	}
	if !s.atExpectedRevision(svc.Revision, rec.ExpectedRevision) {
		return conflict(fmt.Sprintf("service %q is at revision %d, not %d", b.Service, svc.Revision, rec.ExpectedRevision), svc.Revision)
	}
	if svc.Weights[b.Version] > 0 {
		return rejected(fmt.Sprintf("version %q of service %q carries traffic", b.Version, b.Service))
	}
	if r, ok := s.OpenRollout(b.Service); ok && (r.From == b.Version || r.To == b.Version) {
		return rejected(fmt.Sprintf("rollout %d needs version %q", r.ID, b.Version))
	}
	svc.Versions = slices.DeleteFunc(slices.Clone(svc.Versions), func(v string) bool { return v == b.Version })
	svc.Revision = s.Revision
	s.Services[b.Service] = svc
	return accepted()
}

func (s *State) putRoute(rec record.Record, b record.PutRoute) Outcome {
	if !ValidName(b.Name) {
		return rejected(fmt.Sprintf("route %q is no valid name", b.Name))
	}
	if !strings.HasPrefix(b.Prefix, "/") {
		return rejected(fmt.Sprintf("route %q: prefix %q does not start with /", b.Name, b.Prefix))
	}
	old := s.Routes[b.Name]
	if !s.atExpectedRevision(old.Revision, rec.ExpectedRevision) {
		return conflict(fmt.Sprintf("route %q is at revision %d, not %d", b.Name, old.Revision, rec.ExpectedRevision), old.Revision)
	}
	if _, ok := s.Services[b.Service]; !ok {
		return rejected(fmt.Sprintf("route %q points at service %q, which does not exist", b.Name, b.Service))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		if name != b.Name && s.Routes[name].Prefix == b.Prefix {
			return rejected(fmt.Sprintf("route %q has the same prefix %q", name, b.Prefix))
		}
	}
	s.Routes[b.Name] = Route{Name: b.Name, Prefix: b.Prefix, Service: b.Service, Revision: s.Revision}
	return accepted()
}

func (s *State) deleteRoute(rec record.Record, b record.DeleteRoute) Outcome {
	old, ok := s.Routes[b.Name]
	if !ok {
		return rejected(fmt.Sprintf("route %q does not exist", b.Name))
	}
	if !s.atExpectedRevision(old.Revision, rec.ExpectedRevision) {
		return conflict(fmt.Sprintf("route %q is at revision %d, not %d", b.Name, old.Revision, rec.ExpectedRevision), old.Revision)
	}
	delete(s.Routes, b.Name)
	return accepted()
}
