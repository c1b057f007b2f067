package marigoldcroft

// TeamSpec is the stored form of a team. API keys are stored only as SHA-256 hashes in hex.
// The methods of Team describe the limits.
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

// Team is a customer with its API keys, the templates that it may use and its limits.
type Team struct{ spec TeamSpec }

// NewTeam returns a team with the fields of spec, which must be valid.
func NewTeam(spec TeamSpec) Team { return Team{spec: spec} }

// Spec returns the stored form.
func (t Team) Spec() TeamSpec { return t.spec }

// Name returns the name of the team.
func (t Team) Name() string { return t.spec.Name }

// KeyHashes returns the SHA-256 hashes of the team's API keys, in hex.
func (t Team) KeyHashes() []string { return t.spec.KeyHashes }

// Allows reports whether the team may use the template.
func (t Team) Allows(template string) bool {
	for _, name := range t.spec.Templates {
		if name == template {
			return true
		}
	}
	return false
}

// DefaultTemplate returns the team's first template, or "" if it has none.
func (t Team) DefaultTemplate() string {
	if len(t.spec.Templates) == 0 {
		return ""
	}
	return t.spec.Templates[0]
}

// TokensPerSecond returns the limit of the team's token rate in all data centres together, or
// 0 for no limit.
func (t Team) TokensPerSecond() float64 { return t.spec.TokensPerSecond }

// BurstTokens returns the burst of the rate limit in tokens, or 0 for one second's worth of
// the rate.
func (t Team) BurstTokens() float64 { return t.spec.BurstTokens }

// Concurrency returns the limit of concurrent requests, or 0 for no limit.
func (t Team) Concurrency() int { return t.spec.Concurrency }

// LongShare returns the fraction of Concurrency that long work may use, or 0 for all of it.
func (t Team) LongShare() float64 { return t.spec.LongShare }

// Weight returns the team's weight in fair scheduling among the teams of one class; the
// default is 1.
func (t Team) Weight() float64 {
	if t.spec.Weight == 0 {
		return 1
	}
	return t.spec.Weight
}
