package mcmember_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network is an in-memory transport between members that can lose messages.
type network struct {
	mu      sync.Mutex
	members map[string]*mcmember.Member
	// drop reports whether a request from one member to another, or an answer, is lost.
	drop func(from, to string, answer bool) bool
	// largest is the size of the largest message so far.
	largest int
}

type memberTransport struct {
	from string
	n    *network
}

var errDropped = errors.New("message dropped by the test network")

func (p memberTransport) target(message proto.Message, to mcmember.Contact, answer bool) (*mcmember.Member, error) {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	p.n.largest = max(p.n.largest, proto.Size(message))
	m := p.n.members[to.Address]
	if m == nil || p.n.drop != nil && p.n.drop(p.from, to.Address, answer) {
		return nil, errDropped
	}
	return m, nil
}

// call delivers the request and the answer, unless one of them is lost.
func call[Q, A proto.Message](ctx context.Context, p memberTransport, to mcmember.Contact, request Q, serve func(*mcmember.Member, context.Context, Q) (A, error)) (A, error) {
	var none A
	m, err := p.target(request, to, false)
	if err != nil {
		return none, err
	}
	answer, err := serve(m, ctx, proto.Clone(request).(Q))
	if err != nil {
		return none, err
	}
	if _, err := (memberTransport{from: to.Address, n: p.n}).target(answer, mcmember.Contact{Address: p.from}, true); err != nil {
		return none, err
	}
	return proto.Clone(answer).(A), nil
}

func (p memberTransport) Exchange(ctx context.Context, to mcmember.Contact, r *mcmessage.ExchangeRequest) (*mcmessage.ExchangeResponse, error) {
	return call(ctx, p, to, r, (*mcmember.Member).Exchange)
}

func (p memberTransport) Probe(ctx context.Context, to mcmember.Contact, r *mcmessage.ProbeRequest) (*mcmessage.ProbeResponse, error) {
	return call(ctx, p, to, r, (*mcmember.Member).Probe)
}

func (p memberTransport) Relay(ctx context.Context, to mcmember.Contact, r *mcmessage.RelayRequest) (*mcmessage.RelayResponse, error) {
	return call(ctx, p, to, r, (*mcmember.Member).Relay)
}

// mutableList is an instance list that the test can change.
type mutableList struct {
	mu     sync.Mutex
	answer marigoldcroft.InstanceListing
}

func (l *mutableList) Instances(context.Context) (marigoldcroft.InstanceListing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answer, nil
}

func (l *mutableList) change(f func(*marigoldcroft.InstanceListing)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.answer)
}

// fleet is a set of running members in a synctest bubble.
type fleet struct {
	network
	t    *testing.T
	list *mutableList
	ctx  context.Context
	stop map[string]context.CancelFunc
	wait sync.WaitGroup
}

const region = "south"

func instanceName(centre string, i int) string { return fmt.Sprintf("%s-entry-%02d", centre, i) }

// newFleet lists n instances in each data centre without starting them.
func newFleet(t *testing.T, n int, centres ...string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, list: &mutableList{}, ctx: ctx, stop: make(map[string]context.CancelFunc)}
	f.members = make(map[string]*mcmember.Member)
	for _, centre := range centres {
		for i := range n {
			name := instanceName(centre, i)
			f.list.answer.Instances = append(f.list.answer.Instances, marigoldcroft.ListedInstance{
				Name: name, DataCentre: centre, Region: region, PeerAddress: name,
			})
		}
	}
	t.Cleanup(func() {
		cancel()
		f.wait.Wait()
	})
	return f
}

// start starts a new incarnation of the listed instance.
func (f *fleet) start(name string, change func(*mcmember.Member)) *mcmember.Member {
	var at marigoldcroft.ListedInstance
	for _, i := range f.list.answer.Instances {
		if i.Name == name {
			at = i
		}
	}
	salt := uint64(len(f.members))
	m := &mcmember.Member{
		Self: mcmember.Self{
			Identity:    marigoldcroft.NewIdentity("copo", at.Region, at.DataCentre, name, time.Now(), salt),
			PeerAddress: name,
		},
		Transport: memberTransport{from: name, n: &f.network}, List: f.list, Seed: salt,
	}
	if change != nil {
		change(m)
	}
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.members[name], f.stop[name] = m, stop
	f.mu.Unlock()
	f.wait.Go(func() { _ = m.Run(ctx) })
	return m
}

// startAll starts all listed instances and waits until they have found each other.
func (f *fleet) startAll(change func(*mcmember.Member)) {
	for _, i := range f.list.answer.Instances {
		f.start(i.Name, change)
	}
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

// mark sets or clears an operator's leaving mark at the i-th instance of centreA.
func (f *fleet) mark(i int, endpoint string, leaving bool) {
	require.NoError(f.t, f.members[instanceName(centreA, i)].SetLeaving(endpoint, leaving))
}

// kill removes the member from the network before it stops it, so that its leave messages
// are lost.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, name)
	f.stop[name]()
}

// setDrop sets which messages are lost; nil means none.
func (f *fleet) setDrop(drop func(from, to string, answer bool) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop = drop
}

// states returns the states of all members as m sees them.
func states(m *mcmember.Member) map[string]mcmessage.MemberState {
	found := make(map[string]mcmessage.MemberState)
	for _, v := range m.Members() {
		found[v.Instance] = v.State
	}
	return found
}
