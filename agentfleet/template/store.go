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
	// maxDelta is the maximum number of revisions whose rows ChangedSince reads. If more
	// are missing, it reads all templates.
	maxDelta = 64

	// maxPublishTries is how often Publish tries its transaction while it conflicts with
	// the publishes of other templates.
	maxPublishTries = 8
)

// A SequenceError reports that a publish was based on a version of the template that is
// not the current one.
type SequenceError struct {
	Name    Name
	Base    int64
	Current int64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("template %s is at version %d, not %d: read it and publish again", e.Name, e.Current, e.Base)
}

// A Store publishes templates to the platform's table and reads them.
type Store struct {
	table ryeford.Table
}

// NewStore returns a Store that uses a table.
func NewStore(table ryeford.Table) *Store {
	return &Store{table: table}
}

// Publish publishes a template. The template's Sequence is the version that it is based
// on, zero for a new template. Its PublishID identifies the publish: a repeated
// publish takes effect once. Publish returns the template with its new Sequence and Revision.
// The error is a *SequenceError if the template is not based on the current version.
func (s *Store) Publish(ctx context.Context, t ryeford.Template) (*ryeford.Template, error) {
	var lastErr error
	for range maxPublishTries {
		published, err := s.tryPublish(ctx, t)
		if !ryeford.NeedsReadBack(err) {
			return published, err
		}
		// The next try reads the row of the change first, which shows whether a
		// publish took effect although its response was lost.
		lastErr = err
	}
	return nil, lastErr
}

// ChangedSince returns the newest revision and the templates that changed after the given
// one.
func (s *Store) ChangedSince(ctx context.Context, revision int64) (int64, []ryeford.Template, error) {
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

// Get returns the current version of a template. The error is a *ryeford.NotFoundError
// if there is none.
func (s *Store) Get(ctx context.Context, name Name) (*ryeford.Template, error) {
	t := &ryeford.Template{}
	version, err := row.Get(ctx, s.table, templateKey(name), t)
	if err == nil && version == 0 {
		return nil, &ryeford.NotFoundError{Kind: "template", Name: name.String()}
	}
	return t, err
}

// History returns all versions of a template, oldest first.
func (s *Store) History(ctx context.Context, name Name) ([]ryeford.Template, error) {
	return s.list(ctx, prefixHistory+name.String()+"/")
}

// list returns the templates in the rows with a key prefix.
func (s *Store) list(ctx context.Context, prefix string) ([]ryeford.Template, error) {
	rows, err := s.table.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return decodeRows(rows)
}

// tryPublish publishes a template in one transaction, unless its change was published
// before.
func (s *Store) tryPublish(ctx context.Context, t ryeford.Template) (*ryeford.Template, error) {
	name := Name{Account: t.Account, Name: t.Name}
	rows, err := s.table.Get(ctx, rowRevision, templateKey(name), publishKey(t.PublishID))
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

// write writes the rows of a published template in one transaction. It fails with a
// conflict if the revision row or the template row no longer has the given version.
func (s *Store) write(ctx context.Context, t *ryeford.Template, revisionVersion, templateVersion int64) error {
	name := Name{Account: t.Account, Name: t.Name}
	templateWrite, err := row.NewWrite(templateKey(name), t, templateVersion)
	if err != nil {
		return err
	}
	_, err = s.table.Transact(ctx,
		templateWrite,
		ryeford.Write{Key: rowRevision, Value: []byte(strconv.FormatInt(t.Revision, 10)), IfVersion: revisionVersion},
		ryeford.Write{Key: publishKey(t.PublishID), Value: templateWrite.Value},
		ryeford.Write{Key: revisionKey(t.Revision), Value: templateWrite.Value},
		ryeford.Write{Key: historyKey(name, t.Sequence), Value: templateWrite.Value},
	)
	return err
}

// nextVersion returns a template with the next sequence number. The error is a
// *SequenceError if the template is not based on the current one.
func nextVersion(t ryeford.Template, current int64) (*ryeford.Template, error) {
	if t.Sequence != current {
		return nil, &SequenceError{Name: Name{Account: t.Account, Name: t.Name}, Base: t.Sequence, Current: current}
	}
	t.Sequence++
	return &t, nil
}

// Keys of the rows of the platform's table that hold the templates.
const (
	rowRevision    = "revision"  // the newest revision
	prefixTemplate = "template/" // by name: the current version
	prefixRevision = "change/"   // by revision: the template that was published with it
	prefixHistory  = "history/"  // by name and sequence: each version
	prefixPublish  = "publish/"  // by change ID: the published template
	sequenceFormat = "%020d"     // zero-padded, so that history rows are listed in order
)

func templateKey(name Name) string { return prefixTemplate + name.String() }

func publishKey(change string) string { return prefixPublish + change }

func revisionKey(revision int64) string { return prefixRevision + strconv.FormatInt(revision, 10) }

func historyKey(name Name, sequence int64) string {
	return prefixHistory + name.String() + "/" + fmt.Sprintf(sequenceFormat, sequence)
}

// decodeIfPresent decodes a row into v. It does not modify v if the row is absent.
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

// validate is safe for concurrent use, and caches struct metadata.
var validate = validator.New(validator.WithRequiredStructEnabled())

// Check validates a template before it is published. The error is a
// *ryeford.InputError.
func Check(t *ryeford.Template) error {
	if t.PublishID == "" {
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
