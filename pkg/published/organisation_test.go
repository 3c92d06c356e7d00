package published_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heathercroft.example/heathercroft/pkg/published"
)

func organisationConfig(version published.Version, organisations ...published.Organisation) *published.Config {
	c := config(route("r", "h.test", "/x/", published.WeightedService{Service: "a", Weight: 1}))
	c.Version, c.Organisations = version, organisations
	return c
}

// A request must be charged to the organisation that holds its key, and to none if the key is
// unknown or was withdrawn.
func TestKeyNamesItsOrganisation(t *testing.T) {
	hash := published.HashKey
	c := organisationConfig(
		1, published.Organisation{Name: "o1", KeyHashes: []published.KeyHash{hash("k1"), hash("k2")}},
		published.Organisation{Name: "o2", KeyHashes: []published.KeyHash{hash("k3")}}, published.Organisation{Name: "o3"},
	)
	require.NoError(t, c.Prepare())
	require.Equal(t, "o1", c.OrganisationOfKey("k2").Name)
	require.Equal(t, "o2", c.OrganisationOfKey("k3").Name)
	require.Nil(t, c.OrganisationOfKey("k4"))
	require.Nil(t, c.OrganisationOfKey(""))
	require.True(t, c.NeedsKey(&c.Routes[0]))
	c.Routes[0].Public = true
	require.False(t, c.NeedsKey(&c.Routes[0]))
	require.False(t, config().NeedsKey(&published.Route{}), "without organisations no key is needed")
}

// A configuration in which a request could be charged to the wrong organisation must be rejected as
// a whole.
func TestInvalidOrganisationsAreRejected(t *testing.T) {
	key := []published.KeyHash{published.HashKey("k")}
	for name, organisations := range map[string][]published.Organisation{
		"shared key":     {{Name: "o1", KeyHashes: key}, {Name: "bad", KeyHashes: key}},
		"same name":      {{Name: "bad"}, {Name: "bad"}},
		"no name":        {{}},
		"negative rate":  {{Name: "bad", Rate: -1}},
		"negative burst": {{Name: "bad", Burst: -1}},
	} {
		require.Error(t, organisationConfig(1, organisations...).Prepare(), name)
	}
}

// A node that gets deltas must know the same organisations as one that reads whole configurations:
// a withdrawn key must not stay valid.
func TestDeltasLeadToThePublishedOrganisations(t *testing.T) {
	draw := func(t *rapid.T) []published.Organisation {
		var out []published.Organisation
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID[int]).Draw(t, "organisations") {
			o := published.Organisation{Name: string(rune('a' + i)), Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate"))}
			for k := range rapid.IntRange(0, 2).Draw(t, "keys") {
				o.KeyHashes = append(o.KeyHashes, published.HashKey(o.Name+string(rune('0'+k))))
			}
			out = append(out, o)
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		before, after := organisationConfig(1, draw(t)...), organisationConfig(2, draw(t)...)
		require.NoError(t, before.Prepare())
		require.NoError(t, after.Prepare())
		d, ok := before.Diff(after)
		require.True(t, ok)
		text, err := json.Marshal(d)
		require.NoError(t, err)
		var received published.Delta
		require.NoError(t, json.Unmarshal(text, &received))
		got, err := before.Apply(received)
		require.NoError(t, err)
		require.ElementsMatch(t, after.Organisations, got.Organisations)
	})
}
