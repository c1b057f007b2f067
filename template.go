package marigoldcroft

import "time"

type (
	// Urgency is the priority class of work in queues and under overload.
	Urgency int
	// RepeatRule determines whether a call may run more than once.
	RepeatRule string
	// OversizeRule determines how a prompt larger than one engine's memory is handled.
	OversizeRule string
)

// The urgencies, most urgent first.
const (
	UrgencyInteractive Urgency = iota
	UrgencyNormal
	UrgencyBatch
)

// The repeat rules and the oversize rules.
const (
	// RepeatIdempotent calls may be retried.
	RepeatIdempotent RepeatRule = "idempotent"
	// RepeatAtMostOnce calls go through the ledger, which lets them run at most once.
	RepeatAtMostOnce RepeatRule = "atMostOnce"

	// OversizeRefuse rejects the prompt.
	OversizeRefuse OversizeRule = "refuse"
	// OversizeSplit splits the prompt into segments and combines their answers.
	OversizeSplit OversizeRule = "split"
)

// urgencyNames holds the name of each urgency in the configuration.
var urgencyNames = [...]string{"interactive", "normal", "batch"}

// String returns the name of the urgency in the configuration, or "unknown".
func (u Urgency) String() string {
	if u < 0 || int(u) >= len(urgencyNames) {
		return "unknown"
	}
	return urgencyNames[u]
}

// ParseUrgency returns the urgency with the name s, or false if there is none.
func ParseUrgency(s string) (Urgency, bool) {
	for i, name := range urgencyNames {
		if name == s {
			return Urgency(i), true
		}
	}
	return 0, false
}

// TemplateSpec is the stored form of a request template. Its fields are exported because the
// codec and the validator can access only exported fields. The methods of Template describe
// them.
type TemplateSpec struct {
	Name            string       `json:"name" validate:"required,max=64"`
	Model           string       `json:"model,omitempty" validate:"required_without=Service,max=64"`
	Service         string       `json:"service,omitempty" validate:"excluded_with=Model,max=64"`
	Urgency         string       `json:"urgency" validate:"oneof=interactive normal batch"`
	Repeat          RepeatRule   `json:"repeat" validate:"oneof=idempotent atMostOnce"`
	Oversize        OversizeRule `json:"oversize,omitempty" validate:"omitempty,oneof=refuse split"`
	DeadlineMs      int64        `json:"deadlineMs" validate:"min=100,max=86400000"`
	MaxPromptTokens int          `json:"maxPromptTokens,omitempty" validate:"min=0,max=2000000"`
	MaxOutputTokens int          `json:"maxOutputTokens,omitempty" validate:"min=0,max=100000"`
	CombinePrompt   string       `json:"combinePrompt,omitempty" validate:"max=8192"`
	SystemPrompt    string       `json:"systemPrompt,omitempty" validate:"max=65536"`
}

// Template is a class of requests: it determines the model or service that they use, their
// urgency, deadline and token limits, and whether they may run more than once.
type Template struct{ spec TemplateSpec }

// NewTemplate returns a template with the fields of spec, which must be valid.
func NewTemplate(spec TemplateSpec) Template { return Template{spec: spec} }

// Spec returns the stored form.
func (t Template) Spec() TemplateSpec { return t.spec }

// Name returns the name of the template.
func (t Template) Name() string { return t.spec.Name }

// Model returns the model, or "" for a template of a plain service.
func (t Template) Model() string { return t.spec.Model }

// Service returns the plain service, or "" for a template of a model.
func (t Template) Service() string { return t.spec.Service }

// Urgency returns the priority class of the requests.
func (t Template) Urgency() Urgency {
	u, _ := ParseUrgency(t.spec.Urgency)
	return u
}

// Repeat returns the rule for running a call more than once.
func (t Template) Repeat() RepeatRule { return t.spec.Repeat }

// Oversize returns the rule for prompts larger than one engine's memory; the default is
// OversizeRefuse.
func (t Template) Oversize() OversizeRule {
	if t.spec.Oversize == "" {
		return OversizeRefuse
	}
	return t.spec.Oversize
}

// Deadline returns the time limit of a request.
func (t Template) Deadline() time.Duration {
	return time.Duration(t.spec.DeadlineMs) * time.Millisecond
}

// MaxPromptTokens returns the limit of prompt tokens, or 0 if the template sets none.
func (t Template) MaxPromptTokens() int { return t.spec.MaxPromptTokens }

// MaxOutputTokens returns the limit of output tokens, or 0 for the default.
func (t Template) MaxOutputTokens() int { return t.spec.MaxOutputTokens }

// CombinePrompt returns the prompt by which the answers to the segments of a split prompt are
// combined.
func (t Template) CombinePrompt() string { return t.spec.CombinePrompt }

// SystemPrompt returns the system prompt that is put before the caller's messages.
func (t Template) SystemPrompt() string { return t.spec.SystemPrompt }
