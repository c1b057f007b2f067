package mcconfig

import (
	"iter"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

type (
	// Snapshot is the complete configuration of one revision. It is immutable; successive
	// snapshots share the pages that did not change.
	Snapshot struct {
		head  Head
		pages [PageCount]*loadedPage
		// teamsByKey is sharded by the first byte of the key hash, so that a change copies
		// only the shards that it modifies.
		teamsByKey [256]map[keyHash]*marigoldcroft.Team
	}

	// loadedPage is a decoded page. raw is its stored form, which is served to peers.
	loadedPage struct {
		ref       PageRef
		raw       []byte
		teams     map[string]*marigoldcroft.Team
		templates map[string]*marigoldcroft.Template
	}
)

var _ marigoldcroft.ConfigSnapshot = (*Snapshot)(nil)

// emptySnapshot returns the configuration before the first change, of revision 0.
func emptySnapshot() *Snapshot { return &Snapshot{head: Head{Version: formatVersion}} }

// Revision returns the revision of the configuration.
func (s *Snapshot) Revision() uint64 { return s.head.Revision }

// TeamByKeyHash returns the team that owns the API key with this SHA-256 hash in hex.
func (s *Snapshot) TeamByKeyHash(hash string) (marigoldcroft.Team, bool) {
	h, ok := parseKeyHash(hash)
	if !ok {
		return marigoldcroft.Team{}, false
	}
	team, ok := s.teamsByKey[h[0]][h]
	if !ok {
		return marigoldcroft.Team{}, false
	}
	return *team, true
}

// Team returns the team with the name.
func (s *Snapshot) Team(name string) (marigoldcroft.Team, bool) {
	page := s.pages[ObjectName{ObjectTeam, name}.page()]
	if page == nil {
		return marigoldcroft.Team{}, false
	}
	team, ok := page.teams[name]
	if !ok {
		return marigoldcroft.Team{}, false
	}
	return *team, true
}

// Template returns the template with the name.
func (s *Snapshot) Template(name string) (marigoldcroft.Template, bool) {
	page := s.pages[ObjectName{ObjectTemplate, name}.page()]
	if page == nil {
		return marigoldcroft.Template{}, false
	}
	template, ok := page.templates[name]
	if !ok {
		return marigoldcroft.Template{}, false
	}
	return *template, true
}

func (s *Snapshot) teams() iter.Seq[*marigoldcroft.Team] {
	return func(yield func(*marigoldcroft.Team) bool) {
		for _, page := range s.pages {
			if page == nil {
				continue
			}
			for _, team := range page.teams {
				if !yield(team) {
					return
				}
			}
		}
	}
}

// names returns the sorted names of all objects of a kind.
func (s *Snapshot) names(kind ObjectKind) []string {
	var names []string
	for _, page := range s.pages {
		if page == nil {
			continue
		}
		if kind == ObjectTeam {
			for name := range page.teams {
				names = append(names, name)
			}
			continue
		}
		for name := range page.templates {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// entry returns the stored entry of the object, including one that is marked as deleted.
func (s *Snapshot) entry(name ObjectName) (Entry, bool) {
	page := s.pages[name.page()]
	if page == nil {
		return Entry{}, false
	}
	return page.decode().find(name)
}

// decode decodes the stored form again. It cannot fail, because loadPage validated it.
func (p *loadedPage) decode() Page {
	page, err := DecodePage(p.raw)
	if err != nil {
		panic(err)
	}
	return page
}

// loadPage decodes the stored page raw and validates it against ref. It replaces the
// template names of teams by the strings of interned, because thousands of teams refer
// to the same few templates.
func loadPage(ref PageRef, raw []byte, interned map[string]string) (*loadedPage, error) {
	if hashOf(raw) != ref.Hash {
		return nil, marigoldcroft.NewFailure(pageKey(ref.Page, ref.Revision), KindCorrupt, errors.New("the hash differs from the head's"))
	}
	content, err := DecodePage(raw)
	if err != nil {
		return nil, err
	}
	if content.Page != ref.Page || content.Revision != ref.Revision {
		return nil, marigoldcroft.NewFailure(pageKey(ref.Page, ref.Revision), KindCorrupt,
			errors.Newf("the content is of page %d revision %d", content.Page, content.Revision))
	}
	page := &loadedPage{
		ref: ref, raw: raw,
		teams: map[string]*marigoldcroft.Team{}, templates: map[string]*marigoldcroft.Template{},
	}
	for _, e := range content.Entries {
		switch {
		case e.Deleted:
		case e.Template != nil:
			template := marigoldcroft.NewTemplate(*e.Template)
			page.templates[e.Name] = &template
		default:
			intern(e.Team.Templates, interned)
			team := marigoldcroft.NewTeam(*e.Team)
			page.teams[e.Team.Name] = &team
		}
	}
	return page, nil
}

func intern(names []string, interned map[string]string) {
	for i, name := range names {
		if kept, ok := interned[name]; ok {
			names[i] = kept
			continue
		}
		interned[name] = name
	}
}

// withPages returns the snapshot of head, in which changed replaces pages of s. It fails
// if two teams own the same key hash or a team refers to a missing template.
func (s *Snapshot) withPages(head Head, changed []*loadedPage) (*Snapshot, error) {
	next := &Snapshot{head: head, pages: s.pages, teamsByKey: s.teamsByKey}
	copied := [256]bool{}
	shard := func(h keyHash) map[keyHash]*marigoldcroft.Team {
		if !copied[h[0]] {
			m := make(map[keyHash]*marigoldcroft.Team, len(s.teamsByKey[h[0]])+1)
			for k, v := range s.teamsByKey[h[0]] {
				m[k] = v
			}
			next.teamsByKey[h[0]], copied[h[0]] = m, true
		}
		return next.teamsByKey[h[0]]
	}
	templateRemoved := false
	for _, page := range changed {
		old := s.pages[page.ref.Page]
		next.pages[page.ref.Page] = page
		if old == nil {
			continue
		}
		for _, team := range old.teams {
			for _, hash := range team.KeyHashes() {
				h, _ := parseKeyHash(hash)
				delete(shard(h), h)
			}
		}
		for name := range old.templates {
			if _, ok := page.templates[name]; !ok {
				templateRemoved = true
			}
		}
	}
	var problems []string
	for _, page := range changed {
		for _, team := range page.teams {
			problems = append(problems, next.checkTemplates(team)...)
			for _, hash := range team.KeyHashes() {
				h, _ := parseKeyHash(hash)
				m := shard(h)
				if other, ok := m[h]; ok {
					first, second := min(other.Name(), team.Name()), max(other.Name(), team.Name())
					problems = append(problems, "field keyHashes: key hash "+hash+" stands in team/"+first+" and team/"+second)
				}
				m[h] = team
			}
		}
	}
	if templateRemoved {
		for team := range next.teams() {
			problems = append(problems, next.checkTemplates(team)...)
		}
	}
	if len(problems) > 0 {
		slices.Sort(problems)
		return nil, marigoldcroft.NewFailure("cross check", KindInvalid, errors.New(joinFirst(slices.Compact(problems))))
	}
	return next, nil
}

// checkTemplates describes the references of the team to templates that do not exist.
func (s *Snapshot) checkTemplates(team *marigoldcroft.Team) []string {
	var problems []string
	for _, name := range team.Spec().Templates {
		page := s.pages[ObjectName{ObjectTemplate, name}.page()]
		if page == nil || page.templates[name] == nil {
			problems = append(problems, "team/"+team.Name()+": field templates: template "+name+" does not exist")
		}
	}
	return problems
}

// joinFirst joins at most 10 lines and says if there are more.
func joinFirst(lines []string) string {
	const maxLines = 10
	if len(lines) > maxLines {
		return strings.Join(lines[:maxLines], "; ") + "; and more"
	}
	return strings.Join(lines, "; ")
}
