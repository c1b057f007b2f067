package mcevacuation

import "time"

// ReportPath is the path of an instance's report on its admin address.
const ReportPath = "/evacuations"

type (
	// Report is the view that one instance has of the evacuations, as it reports it to operators. The
	// fields are exported because the JSON codec reaches only exported fields.
	Report struct {
		Instance string `json:"instance"`
		// Followed is false if the settings of the instance do not ask for evacuations, and Known
		// is false before it has learned of them.
		Followed bool `json:"followed"`
		Known    bool `json:"known"`
		// ConfirmedAgeMs is the time since the store, or a peer, last confirmed the view, or -1.
		ConfirmedAgeMs int64            `json:"confirmedAgeMs"`
		DataCentres    []ReportedCentre `json:"dataCentres"`
		// AdminAddresses are the addresses at which the instances report their views.
		AdminAddresses map[string]string `json:"adminAddresses"`
	}

	// ReportedCentre is a data centre that is evacuated in the view of an instance.
	ReportedCentre struct {
		DataCentre string    `json:"dataCentre"`
		Since      time.Time `json:"since"`
		// Running is the number of requests of the instance that still run there.
		Running int `json:"running"`
	}
)
