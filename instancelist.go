package marigoldcroft

import "context"

// ListedInstance is an entry instance as the platform's instance list shows it.
type ListedInstance struct {
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving"`
}

// ListedEndpoint is an endpoint as the platform's instance list shows it.
type ListedEndpoint struct {
	Name          string       `json:"name"`
	Kind          EndpointKind `json:"kind"`
	Address       string       `json:"address"`
	DataCentre    string       `json:"dataCentre"`
	Pool          string       `json:"pool"`
	ChecksFencing bool         `json:"checksFencing"`
	Leaving       bool         `json:"leaving"`
}

// InstanceListing is one answer of the instance list. It lags behind the truth.
type InstanceListing struct {
	Instances []ListedInstance `json:"instances"`
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// InstanceList reads the platform's instance list.
type InstanceList interface {
	Instances(ctx context.Context) (InstanceListing, error)
}
