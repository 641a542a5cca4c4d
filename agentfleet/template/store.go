package template

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/row"
)

const (
	// maxDelta is how many revisions are read row by row; a reader that lacks more reads
	// all templates.
	maxDelta = 64

	// maxPublishes is how often a publish is made while other templates' publishes come
	// first.
	maxPublishTries = 8
)

// A SequenceError says that a publish was based on another version of the
// template than the current one.
type SequenceError struct {
	Name    Name
	Base    int64
	Current int64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("template %s is at version %d, not %d: read it and publish again", e.Name, e.Current, e.Base)
}

// A Store publishes templates to the platform's table, and reads them back.
type Store struct {
	table ryeford.Table
}

// NewStore returns a Store in a table.
func NewStore(table ryeford.Table) *Store {
	return &Store{table: table}
}

// Publish accepts a template. Its Sequence is the version it is based on, zero for a
// new one; its Change makes a repeated publish take effect once. The template that is
// returned has its new Sequence and Revision. The error is a *SequenceError if the
// template is based on another version than the current one.
func (s *Store) Publish(ctx context.Context, t ryeford.Template) (*ryeford.Template, error) {
	var lastErr error
	for range maxPublishTries {
		published, err := s.tryPublish(ctx, t)
		if !ryeford.NeedsReadBack(err) {
			return published, err
		}
		// The next time round reads the change's own row first, and so finds out
		// whether a publish whose answer was lost took effect.
		lastErr = err
	}
	return nil, lastErr
}

// Since returns the newest revision and the templates above another one.
func (s *Store) Since(ctx context.Context, revision int64) (int64, []ryeford.Template, error) {
	revisionRow, err := s.table.Get(ctx, rowRevision)
	if err != nil {
		return revision, nil, err
	}
	var newest int64
	if err := decodeIfPresent(revisionRow[0], &newest); err != nil || newest <= revision {
		return revision, nil, err
	}
	if revision == 0 || newest-revision > maxDelta {
		templates, err := s.All(ctx)
		return newest, templates, err
	}
	keys := make([]string, 0, newest-revision)
	for r := revision + 1; r <= newest; r++ {
		keys = append(keys, revisionKey(r))
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return revision, nil, err
	}
	templates, err := decodeRows(rows)
	return newest, templates, err
}

// All returns all templates.
func (s *Store) All(ctx context.Context) ([]ryeford.Template, error) {
	return s.list(ctx, prefixTemplate)
}

// Get returns one template as it was accepted last.
func (s *Store) Get(ctx context.Context, name Name) (*ryeford.Template, error) {
	t := &ryeford.Template{}
	version, err := row.Get(ctx, s.table, templateKey(name), t)
	if err == nil && version == 0 {
		return nil, &ryeford.NotFoundError{Kind: "template", Name: name.String()}
	}
	return t, err
}

// History returns all versions of a template, the oldest first.
func (s *Store) History(ctx context.Context, name Name) ([]ryeford.Template, error) {
	return s.list(ctx, prefixHistory+name.String()+"/")
}

// list returns the templates in the rows with a prefix.
func (s *Store) list(ctx context.Context, prefix string) ([]ryeford.Template, error) {
	rows, err := s.table.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return decodeRows(rows)
}

// publishOnce makes one transaction of a publish.
func (s *Store) tryPublish(ctx context.Context, t ryeford.Template) (*ryeford.Template, error) {
	name := Name{Account: t.Account, Name: t.Name}
	rows, err := s.table.Get(ctx, rowRevision, templateKey(name), publishKey(t.Change))
	if err != nil {
		return nil, err
	}
	revisionRow, templateRow, publishRow := rows[0], rows[1], rows[2]
	current := &ryeford.Template{}
	if publishRow.Version != 0 {
		return current, row.Decode(publishRow, current)
	}
	var revision int64
	if err := errors.Join(decodeIfPresent(templateRow, current), decodeIfPresent(revisionRow, &revision)); err != nil {
		return nil, err
	}
	next, err := nextVersion(t, current.Sequence)
	if err != nil {
		return nil, err
	}
	next.Revision = revision + 1
	if err := s.write(ctx, next, revisionRow.Version, templateRow.Version); err != nil {
		return nil, err
	}
	return next, nil
}

// write writes the rows of a published template, if the rows of the revision and of the
// template still have these versions.
func (s *Store) write(ctx context.Context, t *ryeford.Template, revisionVersion, templateVersion int64) error {
	name := Name{Account: t.Account, Name: t.Name}
	templateWrite, err := row.Write(templateKey(name), t, templateVersion)
	if err != nil {
		return err
	}
	_, err = s.table.Transact(ctx,
		templateWrite,
		ryeford.Write{Key: rowRevision, Value: []byte(strconv.FormatInt(t.Revision, 10)), IfVersion: revisionVersion},
		ryeford.Write{Key: publishKey(t.Change), Value: templateWrite.Value},
		ryeford.Write{Key: revisionKey(t.Revision), Value: templateWrite.Value},
		ryeford.Write{Key: historyKey(name, t.Sequence), Value: templateWrite.Value},
	)
	return err
}

// nextVersion returns a template with the sequence after the current one, on which it
// must be based.
func nextVersion(t ryeford.Template, current int64) (*ryeford.Template, error) {
	if t.Sequence != current {
		return nil, &SequenceError{Name: Name{Account: t.Account, Name: t.Name}, Base: t.Sequence, Current: current}
	}
	t.Sequence++
	return &t, nil
}

// The rows of the platform's table that hold the templates.
const (
	rowRevision    = "revision"  // the newest accepted one
	prefixTemplate = "template/" // by name: the newest version
	prefixRevision = "change/"   // by revision: the template that made it
	prefixHistory  = "history/"  // by name and sequence
	prefixPublish  = "publish/"  // by change id: what it led to
	sequenceFormat = "%020d"     // so that history rows list in order
)

func templateKey(name Name) string { return prefixTemplate + name.String() }

func publishKey(change string) string { return prefixPublish + change }

func revisionKey(revision int64) string { return prefixRevision + strconv.FormatInt(revision, 10) }

func historyKey(name Name, sequence int64) string {
	return prefixHistory + name.String() + "/" + fmt.Sprintf(sequenceFormat, sequence)
}

// decode reads a row into v, and leaves v alone if the row is absent.
func decodeIfPresent(r ryeford.Row, v any) error {
	if r.Version == 0 {
		return nil
	}
	return row.Decode(r, v)
}

func decodeRows(rows []ryeford.Row) ([]ryeford.Template, error) {
	templates := make([]ryeford.Template, len(rows))
	for i, r := range rows {
		if err := row.Decode(r, &templates[i]); err != nil {
			return nil, err
		}
	}
	return templates, nil
}

// checker may be used by several goroutines at once, and caches the types it has seen.
var validate = validator.New(validator.WithRequiredStructEnabled())

// Check checks a template that is to be published. The error is a
// *ryeford.InputError.
func Check(t *ryeford.Template) error {
	if t.Change == "" {
		return &ryeford.InputError{Field: "change", Problem: "missing; it names the publish"}
	}
	err := validate.Struct(t)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) || len(invalid) == 0 {
		return &ryeford.InputError{Field: "template", Problem: err.Error()}
	}
	first := invalid[0]
	return &ryeford.InputError{
		Field:   strings.ToLower(first.Field()),
		Problem: "must satisfy " + strings.TrimSpace(first.Tag()+" "+first.Param()),
	}
}
