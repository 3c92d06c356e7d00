package published

import (
	"crypto/sha256"
	"encoding/base64"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// KeyHash is the hash of an API key. Keys themselves are not kept, so that no message, log line or
// memory dump holds one.
type KeyHash string

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(base64.RawStdEncoding.EncodeToString(sum[:]))
}

// Organisation is a customer whose callers share a usage cap and a share of the targets.
type Organisation struct {
	Name      string    `json:"name"`
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Priority replaces the priority of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Rate and Burst cap the requests of the organisation over all nodes: Rate is in requests
	// per second, Burst the number that may be sent at once. Without a rate there is no cap.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// AllowedRegions holds the regions whose targets may get its requests. Empty means all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// Capped reports whether the organisation has a usage cap.
func (o *Organisation) Capped() bool { return o.Rate > 0 }

// HasCaps reports whether an organisation has a usage cap.
func (c *Config) HasCaps() bool {
	return slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Capped() })
}

func (o *Organisation) check() error {
	switch {
	case o.Name == "":
		return errors.New("no name")
	case !(o.Rate >= 0) || math.IsInf(o.Rate, 0):
		return errors.Newf("rate is %g requests per second, want 0 or more", o.Rate)
	case !(o.Burst >= 0) || math.IsInf(o.Burst, 0):
		return errors.Newf("burst is %g requests, want 0 or more", o.Burst)
	default:
		return nil
	}
}

func (o *Organisation) equal(p *Organisation) bool {
	return o.Name == p.Name && slices.Equal(o.KeyHashes, p.KeyHashes) && o.Priority == p.Priority &&
		o.Rate == p.Rate && o.Burst == p.Burst && slices.Equal(o.AllowedRegions, p.AllowedRegions)
}

// indexOrganisations validates the organisations and builds their indexes. A key belongs to one
// organisation only: otherwise a request could be charged to another one.
func (c *Config) indexOrganisations() error {
	c.organisationsByKey = make(map[KeyHash]*Organisation, 2*len(c.Organisations))
	c.organisationsByName = make(map[string]*Organisation, len(c.Organisations))
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if err := o.check(); err != nil {
			return errors.Wrapf(err, "organisation %q", o.Name)
		}
		if _, ok := c.organisationsByName[o.Name]; ok {
			return errors.Newf("organisation %q is listed twice", o.Name)
		}
		c.organisationsByName[o.Name] = o
		for _, h := range o.KeyHashes {
			if other, ok := c.organisationsByKey[h]; ok && other != o {
				return errors.Newf("organisations %q and %q have the same key", other.Name, o.Name)
			}
			c.organisationsByKey[h] = o
		}
	}
	return nil
}

// OrganisationOfKey returns the organisation that holds a key, or nil.
func (c *Config) OrganisationOfKey(key string) *Organisation {
	return c.OrganisationOfHash(HashKey(key))
}

// OrganisationOfHash returns the organisation that holds the key with a hash, or nil.
func (c *Config) OrganisationOfHash(h KeyHash) *Organisation { return c.organisationsByKey[h] }

// Organisation returns the organisation of a name, or nil.
func (c *Config) Organisation(name string) *Organisation { return c.organisationsByName[name] }

// NeedsKey reports whether requests of the route need a key of an organisation.
func (c *Config) NeedsKey(r *Route) bool { return len(c.Organisations) > 0 && !r.Public }

// organisationDelta is the difference between the organisations of two versions.
type organisationDelta struct {
	Changed []Organisation `json:"changed,omitempty"`
	Removed []string       `json:"removed,omitempty"`
}

// diffOrganisations returns the delta from the organisations of c to those of next, nil if they
// are equal.
func (c *Config) diffOrganisations(next *Config) *organisationDelta {
	var d organisationDelta
	for i := range next.Organisations {
		o := &next.Organisations[i]
		if before := c.organisationsByName[o.Name]; before == nil || !before.equal(o) {
			d.Changed = append(d.Changed, *o)
		}
	}
	for i := range c.Organisations {
		if name := c.Organisations[i].Name; next.organisationsByName[name] == nil {
			d.Removed = append(d.Removed, name)
		}
	}
	if len(d.Changed) == 0 && len(d.Removed) == 0 {
		return nil
	}
	return &d
}

// apply returns the organisations after the delta.
func (d *organisationDelta) apply(before []Organisation) []Organisation {
	if d == nil {
		return before
	}
	after := slices.DeleteFunc(slices.Clone(before), func(o Organisation) bool { return slices.Contains(d.Removed, o.Name) })
	for _, o := range d.Changed {
		if i := slices.IndexFunc(after, func(p Organisation) bool { return p.Name == o.Name }); i >= 0 {
			after[i] = o
		} else {
			after = append(after, o)
		}
	}
	return after
}
