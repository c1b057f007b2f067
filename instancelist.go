package marigoldcroft

import "context"

// ListedInstance is an entry instance in the platform's instance list.
type ListedInstance struct {
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving"`
}

// ListedEndpoint is an endpoint in the platform's instance list.
type ListedEndpoint struct {
	Name          string       `json:"name"`
	Kind          EndpointKind `json:"kind"`
	Address       string       `json:"address"`
	DataCentre    string       `json:"dataCentre"`
	Pool          string       `json:"pool"`
	ChecksFencing bool         `json:"checksFencing"`
	Leaving       bool         `json:"leaving"`
}

// InstanceListing is one answer of the instance list. It may be out of date: recent starts
// and stops can be missing.
type InstanceListing struct {
	Instances []ListedInstance `json:"instances"`
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// InstanceList reads the platform's instance list, its service registry.
type InstanceList interface {
	Instances(ctx context.Context) (InstanceListing, error)
}
