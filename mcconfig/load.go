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

// applyHead loads the snapshot of head and makes it current if its revision is higher
// than the current one. After an error the current snapshot is unchanged.
func (f *Follower) applyHead(ctx context.Context, head Head) error {
	if err := f.lock(ctx); err != nil {
		return err
	}
	defer f.unlock()
	f.observeRevision(head.Revision)
	current := f.snapshot.Load()
	if head.Revision <= current.Revision() {
		return nil
	}
	if !head.descendsFrom(current.head) {
		f.refused.Add(1)
		return marigoldcroft.NewFailure(fmt.Sprintf("revision %d", head.Revision), KindConflict,
			errors.Newf("it was made without revision %d, which is in force", current.Revision()))
	}
	next, err := f.loadSnapshot(ctx, current, head)
	if err != nil {
		f.refused.Add(1)
		return err
	}
	f.install(next)
	return nil
}

// lock acquires applyLock or fails when ctx ends.
func (f *Follower) lock(ctx context.Context) error {
	f.init()
	select {
	case f.applyLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return marigoldcroft.NewFailure("apply head", KindUnavailable, ctx.Err())
	}
}

func (f *Follower) unlock() { <-f.applyLock }

// install makes next the current snapshot unless the current revision is as high. The
// caller holds applyLock.
func (f *Follower) install(next *Snapshot) {
	if next.Revision() <= f.snapshot.Load().Revision() {
		return
	}
	f.observeRevision(next.Revision())
	f.snapshot.Store(next)
	f.problem.Store(nil)
	f.applied.Add(1)
	f.Logger.Info().Uint64("revision", next.Revision()).Msg("configApplied")
}

// loadSnapshot returns the snapshot of head. It reads only the pages that differ from
// base.
func (f *Follower) loadSnapshot(ctx context.Context, base *Snapshot, head Head) (*Snapshot, error) {
	next, corrupt, err := f.loadSkippingCorrupt(ctx, base, head)
	if err != nil {
		return nil, err
	}
	for _, err := range corrupt {
		return nil, errors.Wrapf(err, "revision %d", head.Revision)
	}
	return next, nil
}

// loadSkippingCorrupt is like loadSnapshot, but keeps the page of base where the page of
// head is missing or malformed, and returns the errors of these pages by page number.
func (f *Follower) loadSkippingCorrupt(ctx context.Context, base *Snapshot, head Head) (*Snapshot, map[int]error, error) {
	var (
		group    errgroup.Group
		changed  []*loadedPage
		corrupt  = map[int]error{}
		existing = 0
		mu       sync.Mutex
		names    = map[string]string{}
	)
	group.SetLimit(maxPageReads)
	for _, ref := range head.Pages {
		if old := base.pages[ref.Page]; old != nil {
			existing++
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
				corrupt[ref.Page] = err
			default:
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, errors.Wrapf(err, "revision %d", head.Revision)
	}
	if existing != len(base.head.Pages) {
		return nil, nil, marigoldcroft.NewFailure(fmt.Sprintf("revision %d", head.Revision), KindCorrupt,
			errors.New("the head lacks a page that is in force"))
	}
	next, err := base.withPages(head, changed)
	return next, corrupt, err
}

// readPage returns the stored form of a page. It asks peers first and reads the store
// if none of them has the page.
func (f *Follower) readPage(ctx context.Context, ref PageRef) ([]byte, error) {
	for _, peer := range f.nearestPeers() {
		if raw, ok := f.fetchPageFromPeer(ctx, peer, ref); ok {
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

// fetchPageFromPeer fetches a page from a peer. It returns false if the call fails, or if
// the peer does not hold this revision with the hash of ref.
func (f *Follower) fetchPageFromPeer(ctx context.Context, peer mcmessage.ConfigServiceClient, ref PageRef) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	response, err := peer.FetchPage(ctx, &mcmessage.FetchPageRequest{
		Deployment: f.Deployment, Page: uint32(ref.Page), Revision: ref.Revision,
	})
	if err != nil || !response.GetFound() || hashOf(response.GetPage()) != ref.Hash {
		return nil, false
	}
	return response.GetPage(), true
}

// fetchHeadFromPeers queries up to maxPeersQueried peers in parallel. It returns the head
// with the highest revision and the latest time at which the store confirmed that head.
func (f *Follower) fetchHeadFromPeers(ctx context.Context) (Head, time.Time, error) {
	type result struct {
		head        Head
		confirmedAt time.Time
		err         error
	}
	peers := f.nearestPeers()
	results := make(chan result, len(peers))
	for _, peer := range peers {
		go func() {
			head, confirmedAt, err := f.fetchHeadFromPeer(ctx, peer)
			results <- result{head, confirmedAt, err}
		}()
	}
	best, found := result{}, false
	for range peers {
		r := <-results
		if r.err != nil {
			continue
		}
		higher := r.head.Revision > best.head.Revision
		later := r.head.Revision == best.head.Revision && r.confirmedAt.After(best.confirmedAt)
		if !found || higher || later {
			best, found = r, true
		}
	}
	if !found {
		return Head{}, time.Time{}, marigoldcroft.NewFailure("read head", KindUnavailable, errors.New("no peer answered"))
	}
	return best.head, best.confirmedAt, nil
}

func (f *Follower) fetchHeadFromPeer(ctx context.Context, peer mcmessage.ConfigServiceClient) (Head, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	sentAt := time.Now()
	known := f.currentSnapshot().head
	response, err := peer.FetchHead(ctx, &mcmessage.FetchHeadRequest{
		Deployment: f.Deployment, KnownRevision: known.Revision,
	})
	if err != nil {
		return Head{}, time.Time{}, err
	}
	head := known
	if !response.GetUnchanged() {
		if head, err = DecodeHead(response.GetHead()); err != nil {
			return Head{}, time.Time{}, err
		}
	}
	if age := response.GetConfirmedAgeMs(); age >= 0 {
		return head, sentAt.Add(-time.Duration(age) * time.Millisecond), nil
	}
	return head, time.Time{}, nil
}

// nearestPeers returns the nearest peers, at most maxPeersQueried, in random order, so
// that an instance that starts spreads its page reads over them.
func (f *Follower) nearestPeers() []mcmessage.ConfigServiceClient {
	peers := f.Peers.ConfigPeers()
	peers = append([]mcmessage.ConfigServiceClient(nil), peers[:min(maxPeersQueried, len(peers))]...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
