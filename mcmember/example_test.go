package mcmember_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcpeer"
)

// fixedList is an instance list with fixed entries.
type fixedList struct{ listing marigoldcroft.InstanceListing }

func (s *fixedList) Instances(context.Context) (marigoldcroft.InstanceListing, error) {
	return s.listing, nil
}

// Three members in one process find each other over loopback and agree on which of them is
// responsible for a key.
func Example() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	list := &fixedList{}
	var members []*mcmember.Member
	var servers []*mcpeer.Server
	for i := range 3 {
		id := marigoldcroft.NewIdentity("example", "south", "lima", fmt.Sprint("instance-", i), time.Now(), uint64(i))
		member := &mcmember.Member{Self: mcmember.Self{Identity: id}, List: list, Seed: uint64(i)}
		server := &mcpeer.Server{Address: "127.0.0.1:0", Identity: id, Member: member}
		address, err := server.Listen()
		if err != nil {
			fmt.Println(err)
			return
		}
		member.Self.PeerAddress = address
		list.listing.Instances = append(list.listing.Instances, marigoldcroft.ListedInstance{
			Name: id.Instance(), DataCentre: id.DataCentre(), Region: id.Region(), PeerAddress: address,
		})
		members, servers = append(members, member), append(servers, server)
	}
	changes := members[0].Subscribe(100)
	for i, member := range members {
		pool := &mcpeer.Pool{Identity: member.Self.Identity, PeerAddress: member.Self.PeerAddress}
		member.Transport = pool
		wait.Go(func() { _ = servers[i].Run(ctx) })
		wait.Go(func() {
			_ = member.Run(ctx)
			pool.Close()
		})
	}
	for len(members[0].Candidates()) < 3 {
		<-changes.Items()
	}
	fmt.Println(members[0].Candidates())
	fmt.Println(mcmember.Home("team/key", members[0].Candidates()))
	stop()
	wait.Wait()
	// Output:
	// [instance-0 instance-1 instance-2]
	// instance-1
}
