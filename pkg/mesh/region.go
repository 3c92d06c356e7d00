package mesh

import "slices"

// Regions holds the region of each zone.
type Regions map[AvailabilityZone]Region

// Allows reports whether the targets of a zone may get a request. Each list holds the regions that
// one restriction allows, and an empty one allows all. A zone whose region is not known is allowed
// only without restrictions.
func (r Regions) Allows(zone AvailabilityZone, lists ...[]string) bool {
	region, known := r[zone]
	for _, allowed := range lists {
		if len(allowed) > 0 && (!known || !slices.Contains(allowed, string(region))) {
			return false
		}
	}
	return true
}
