package mclimit

import (
	"slices"
	"sync"
	"time"

	"marigoldcroft/mcmember"
)

const (
	// takeoverTime is how long an instance must have been the owner of an endpoint, by every view
	// of the members that it held, before it grants requests. It covers the time in which all
	// members learn of a new one, and the requests that an earlier owner granted.
	takeoverTime = 3 * time.Second
	// maxViews limits the views that are kept. With more changes within takeoverTime, an instance
	// waits until they have ended.
	maxViews = 32
)

type (
	// Ownership decides which instance grants the requests to an endpoint that limits them: the
	// first one in rendezvous order among the members that this instance knows of. Instances with
	// different views may name different owners. An instance therefore grants only as the owner by
	// all its recent views, and a part of the limit that leaves room for members out of its reach.
	// Self must be set before use. Ownership is safe for concurrent use.
	Ownership struct {
		// Self is the name of this instance.
		Self string

		mu sync.Mutex
		// views are the views of the members held within takeoverTime, the newest last. The first
		// one is the view in force at the start of that time.
		views []memberView
	}

	// memberView is a list of members and the time at which it came into force.
	memberView struct {
		since   time.Time
		members []string
		// unreachable is the number of other members that may be running out of reach.
		unreachable int
	}
)

// SetMembers replaces the view of the members. members includes this instance; unreachable is the
// number of other members that have not announced their end and may still be running.
func (o *Ownership) SetMembers(now time.Time, members []string, unreachable int) {
	members = slices.Sorted(slices.Values(members))
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.views) == 0 {
		// Before its first view, the process did not know who the owner was.
		o.views = append(o.views, memberView{})
	}
	if newest := o.views[len(o.views)-1]; len(newest.members) > 0 && newest.unreachable == unreachable && slices.Equal(newest.members, members) {
		return
	}
	o.forgetViews(now)
	if len(o.views) == maxViews {
		// The oldest two views become one without an owner.
		o.views = append(o.views[:0], o.views[1:]...)
		o.views[0] = memberView{since: o.views[0].since}
	}
	o.views = append(o.views, memberView{since: now, members: members, unreachable: unreachable})
}

// forgetViews removes the views that ended before the last takeoverTime.
func (o *Ownership) forgetViews(now time.Time) {
	for len(o.views) > 1 && now.Sub(o.views[1].since) >= takeoverTime {
		o.views = append(o.views[:0], o.views[1:]...)
	}
}

// Owner returns the owner of the endpoint by the newest view, or "" before the first view.
func (o *Ownership) Owner(endpoint string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.views) == 0 {
		return ""
	}
	return mcmember.Home(endpoint, o.views[len(o.views)-1].members)
}

// Share returns the part of the endpoint's limit that this instance may grant, or 0 and the time
// after which that may have changed. It is the smallest part by the recent views: when a cut ends, the
// owner on the other side grants its part until it has learned of this one.
func (o *Ownership) Share(now time.Time, endpoint string) (share float64, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.views) == 0 {
		return 0, takeoverTime
	}
	o.forgetViews(now)
	share = 1
	for i := len(o.views) - 1; i >= 0; i-- {
		if mcmember.Home(endpoint, o.views[i].members) != o.Self {
			if i == len(o.views)-1 {
				return 0, takeoverTime
			}
			return 0, takeoverTime - now.Sub(o.views[i+1].since)
		}
		n := float64(len(o.views[i].members))
		share = min(share, n/(n+float64(o.views[i].unreachable)))
	}
	return share, 0
}
