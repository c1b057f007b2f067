package marigoldcroft

// TeamSpec is the stored form of a team. Keys are kept only as SHA-256 hashes in hex.
type TeamSpec struct {
	Name            string   `json:"name" validate:"required,max=64"`
	KeyHashes       []string `json:"keyHashes" validate:"min=1,max=8,dive,len=64,hexadecimal"`
	Templates       []string `json:"templates" validate:"max=64,dive,max=64"`
	TokensPerSecond float64  `json:"tokensPerSecond,omitempty" validate:"min=0"`
	BurstTokens     float64  `json:"burstTokens,omitempty" validate:"min=0"`
	Concurrency     int      `json:"concurrency,omitempty" validate:"min=0,max=100000"`
	LongShare       float64  `json:"longShare,omitempty" validate:"min=0,max=1"`
	Weight          float64  `json:"weight,omitempty" validate:"min=0,max=1000"`
}

// Team is a customer with its keys, its templates and its limits.
type Team struct{ spec TeamSpec }

// NewTeam returns a team with the fields of spec, which must be valid.
func NewTeam(spec TeamSpec) Team { return Team{spec: spec} }

// Spec returns the stored form.
func (t Team) Spec() TeamSpec { return t.spec }

// Name returns the name.
func (t Team) Name() string { return t.spec.Name }

// KeyHashes returns the SHA-256 hashes of the team's keys, in hex.
func (t Team) KeyHashes() []string { return t.spec.KeyHashes }

// Allows tells whether the team may use the template.
func (t Team) Allows(template string) bool {
	for _, name := range t.spec.Templates {
		if name == template {
			return true
		}
	}
	return false
}

// DefaultTemplate returns the team's first template, or "" when it has none.
func (t Team) DefaultTemplate() string {
	if len(t.spec.Templates) == 0 {
		return ""
	}
	return t.spec.Templates[0]
}

// TokensPerSecond returns the team's token rate in its data centres together, or 0
// for no limit.
func (t Team) TokensPerSecond() float64 { return t.spec.TokensPerSecond }

// BurstTokens returns the burst in tokens, or 0 for one second of the rate.
func (t Team) BurstTokens() float64 { return t.spec.BurstTokens }

// Concurrency returns the largest number of requests at once, or 0 for no limit.
func (t Team) Concurrency() int { return t.spec.Concurrency }

// LongShare returns the share of the concurrency open to long work, or 0 for all of it.
func (t Team) LongShare() float64 { return t.spec.LongShare }

// Weight returns the team's weight among teams of one class; the default is 1.
func (t Team) Weight() float64 {
	if t.spec.Weight == 0 {
		return 1
	}
	return t.spec.Weight
}
