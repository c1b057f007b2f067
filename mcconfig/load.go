package mcconfig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"marigoldcroft"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcstore"
)

// adopt loads the snapshot of head and makes it current if its revision is higher than
// the current one. After an error the current snapshot is unchanged.
func (f *Follower) adopt(ctx context.Context, head Head) error {
	if err := f.lock(ctx); err != nil {
		return err
	}
	defer f.unlock()
	f.see(head.Revision)
	current := f.snapshot.Load()
	if head.Revision <= current.Revision() {
		return nil
	}
	if !head.follows(current.head) {
		f.refused.Add(1)
		return marigoldcroft.NewFailure(fmt.Sprintf("revision %d", head.Revision), KindConflict,
			errors.Newf("it was made without revision %d, which is in force", current.Revision()))
	}
	next, err := f.load(ctx, current, head)
	if err != nil {
		f.refused.Add(1)
		return err
	}
	f.put(next)
	return nil
}

// lock acquires adopting or fails when ctx ends.
func (f *Follower) lock(ctx context.Context) error {
	f.init()
	select {
	case f.adopting <- struct{}{}:
		return nil
	case <-ctx.Done():
		return marigoldcroft.NewFailure("apply head", KindUnavailable, ctx.Err())
	}
}

func (f *Follower) unlock() { <-f.adopting }

// put makes next the current snapshot unless the current revision is as high. The
// caller holds adopting.
func (f *Follower) put(next *Snapshot) {
	if next.Revision() <= f.snapshot.Load().Revision() {
		return
	}
	f.see(next.Revision())
	f.snapshot.Store(next)
	f.problem.Store(nil)
	f.applied.Add(1)
	f.Logger.Info().Uint64("revision", next.Revision()).Msg("configApplied")
}

// load returns the snapshot of head. It reads only the pages that differ from base.
func (f *Follower) load(ctx context.Context, base *Snapshot, head Head) (*Snapshot, error) {
	next, bad, err := f.loadGood(ctx, base, head)
	if err != nil {
		return nil, err
	}
	for _, err := range bad {
		return nil, errors.Wrapf(err, "revision %d", head.Revision)
	}
	return next, nil
}

// loadGood is like load, but keeps the page of base where the page of head is missing
// or malformed, and returns the errors of these pages by page number.
func (f *Follower) loadGood(ctx context.Context, base *Snapshot, head Head) (*Snapshot, map[int]error, error) {
	var (
		group   errgroup.Group
		changed []*loadedPage
		bad     = map[int]error{}
		kept    = 0
		mu      sync.Mutex
		names   = map[string]string{}
	)
	group.SetLimit(pageReaders)
	for _, ref := range head.Pages {
		if old := base.pages[ref.Page]; old != nil {
			kept++
			if old.ref == ref {
				continue
			}
		}
		group.Go(func() error {
			raw, err := f.readPage(ctx, ref)
			mu.Lock()
			defer mu.Unlock()
			var page *loadedPage
			if err == nil {
				page, err = loadPage(ref, raw, names)
			}
			switch {
			case err == nil:
				changed = append(changed, page)
			case marigoldcroft.FailureKind[Kind](err) == KindCorrupt:
				bad[ref.Page] = err
			default:
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, errors.Wrapf(err, "revision %d", head.Revision)
	}
	if kept != len(base.head.Pages) {
		return nil, nil, marigoldcroft.NewFailure(fmt.Sprintf("revision %d", head.Revision), KindCorrupt,
			errors.New("the head lacks a page that is in force"))
	}
	next, err := base.with(head, changed)
	return next, bad, err
}

// readPage returns the stored form of a page. It asks peers first and reads the store
// if none of them has the page.
func (f *Follower) readPage(ctx context.Context, ref PageRef) ([]byte, error) {
	for _, peer := range f.somePeers() {
		if raw, ok := f.peerPage(ctx, peer, ref); ok {
			f.pagesPeers.Add(1)
			return raw, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := f.Store.Get(ctx, pageKey(ref.Page, ref.Revision))
	if mcstore.IsNotFound(err) {
		return nil, marigoldcroft.NewFailure("read page", KindCorrupt, err)
	}
	if err != nil {
		return nil, marigoldcroft.NewFailure("read page", KindUnavailable, err)
	}
	if hashOf(object.Value()) != ref.Hash {
		return nil, marigoldcroft.NewFailure(object.Key(), KindCorrupt, errors.New("the hash differs from the head's"))
	}
	f.pagesStore.Add(1)
	return object.Value(), nil
}

// peerPage fetches a page from a peer. It returns false if the call fails, or if the
// peer does not hold this revision with the hash of ref.
func (f *Follower) peerPage(ctx context.Context, peer mcmessage.ConfigServiceClient, ref PageRef) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	answer, err := peer.FetchPage(ctx, &mcmessage.FetchPageRequest{
		Deployment: f.Deployment, Page: uint32(ref.Page), Revision: ref.Revision,
	})
	if err != nil || !answer.GetFound() || hashOf(answer.GetPage()) != ref.Hash {
		return nil, false
	}
	return answer.GetPage(), true
}

// peerHead queries up to peersAsked peers in parallel. It returns the head with the
// highest revision and the latest time at which the store confirmed that head.
func (f *Follower) peerHead(ctx context.Context) (Head, time.Time, error) {
	type answer struct {
		head Head
		at   time.Time
		err  error
	}
	peers := f.somePeers()
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			head, at, err := f.askHead(ctx, peer)
			answers <- answer{head, at, err}
		}()
	}
	best, found := answer{}, false
	for range peers {
		a := <-answers
		if a.err != nil {
			continue
		}
		higher := a.head.Revision > best.head.Revision
		later := a.head.Revision == best.head.Revision && a.at.After(best.at)
		if !found || higher || later {
			best, found = a, true
		}
	}
	if !found {
		return Head{}, time.Time{}, marigoldcroft.NewFailure("read head", KindUnavailable, errors.New("no peer answered"))
	}
	return best.head, best.at, nil
}

func (f *Follower) askHead(ctx context.Context, peer mcmessage.ConfigServiceClient) (Head, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	asked := time.Now()
	known := f.inForce().head
	answer, err := peer.FetchHead(ctx, &mcmessage.FetchHeadRequest{
		Deployment: f.Deployment, KnownRevision: known.Revision,
	})
	if err != nil {
		return Head{}, time.Time{}, err
	}
	head := known
	if !answer.GetUnchanged() {
		if head, err = DecodeHead(answer.GetHead()); err != nil {
			return Head{}, time.Time{}, err
		}
	}
	if age := answer.GetConfirmedAgeMs(); age >= 0 {
		return head, asked.Add(-time.Duration(age) * time.Millisecond), nil
	}
	return head, time.Time{}, nil
}

// somePeers returns the nearest peers, at most peersAsked, in random order, so that an
// instance that starts spreads its page reads over them.
func (f *Follower) somePeers() []mcmessage.ConfigServiceClient {
	peers := f.Peers.ConfigPeers()
	peers = append([]mcmessage.ConfigServiceClient(nil), peers[:min(peersAsked, len(peers))]...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
