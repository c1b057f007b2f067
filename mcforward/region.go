package mcforward

import (
	"slices"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

// homeRegions returns the regions that the route and the team have in common. Nil means any region,
// and an empty slice means none.
func homeRegions(route, team []string) []string {
	switch {
	case route == nil:
		return team
	case team == nil:
		return route
	}
	common := []string{}
	for _, region := range route {
		if slices.Contains(team, region) {
			common = append(common, region)
		}
	}
	return common
}

// isOutside reports whether the endpoint is outside the home regions of the call. An endpoint whose
// region is not known is in none of them.
func (c *call) isOutside(endpoint marigoldcroft.Endpoint) bool {
	return c.regions != nil && (endpoint.Region() == "" || !slices.Contains(c.regions, endpoint.Region()))
}

// checkRegions returns an error if the endpoint, or one of the helpers, is outside the home regions.
// The scheduler places work in them, but a process in another data centre may have taken the name of
// the endpoint since.
func (a *attempt) checkRegions(endpoint marigoldcroft.Endpoint) error {
	if a.call.regions == nil {
		return nil
	}
	outside := ""
	if a.call.isOutside(endpoint) {
		outside = a.endpoint
	}
	for _, name := range append([]string{a.endpoint}, a.decision.Helpers...) {
		if current, ok := a.call.forwarder.Fleet.Endpoint(name); ok && a.call.isOutside(current) {
			outside = name
		}
	}
	if outside == "" {
		return nil
	}
	a.completion.NotSent = true
	a.call.excluded = append(a.call.excluded, outside)
	return failure("dispatch to "+a.endpoint, KindOutside, errors.Newf("%s is outside the home regions", outside))
}
