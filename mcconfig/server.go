package mcconfig

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marigoldcroft/mcmessage"
)

// Server serves the current head and pages of this instance to peers over gRPC.
type Server struct {
	mcmessage.UnimplementedConfigServiceServer
	Follower *Follower
}

var _ mcmessage.ConfigServiceServer = (*Server)(nil)

// FetchHead returns the current head, or only that it is unchanged if the peer already
// has this revision.
func (s *Server) FetchHead(_ context.Context, r *mcmessage.FetchHeadRequest) (*mcmessage.FetchHeadResponse, error) {
	if err := s.admit(r.GetDeployment()); err != nil {
		return nil, err
	}
	// The age is read before the head, so that a confirmation of an older head is never
	// reported as newer than it is.
	age := s.Follower.confirmedAge()
	head := s.Follower.currentSnapshot().head
	response := &mcmessage.FetchHeadResponse{ConfirmedAgeMs: -1, Unchanged: head.Revision == r.GetKnownRevision()}
	if !response.Unchanged {
		response.Head = head.encode()
	}
	if age >= 0 {
		response.ConfirmedAgeMs = age.Milliseconds()
	}
	return response, nil
}

// FetchPage returns a page of the current snapshot. Other revisions of the page are
// reported as not found.
func (s *Server) FetchPage(_ context.Context, r *mcmessage.FetchPageRequest) (*mcmessage.FetchPageResponse, error) {
	if err := s.admit(r.GetDeployment()); err != nil {
		return nil, err
	}
	if r.GetPage() >= PageCount {
		return nil, status.Errorf(codes.InvalidArgument, "page %d is out of range", r.GetPage())
	}
	page := s.Follower.currentSnapshot().pages[r.GetPage()]
	if page == nil || page.ref.Revision != r.GetRevision() {
		return &mcmessage.FetchPageResponse{}, nil
	}
	return &mcmessage.FetchPageResponse{Found: true, Page: page.raw}, nil
}

// admit rejects peers of other deployments. It rejects all peers until the first
// configuration has been read, so that they do not take the initial, empty snapshot for
// the configuration of the deployment.
func (s *Server) admit(deployment string) error {
	if deployment != s.Follower.Deployment {
		return status.Errorf(codes.PermissionDenied, "deployment %q is not %q", deployment, s.Follower.Deployment)
	}
	select {
	case <-s.Follower.Ready():
		return nil
	default:
		return status.Error(codes.Unavailable, "no configuration was read yet")
	}
}
