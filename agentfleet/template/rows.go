package template

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/ryeford/ryeford"
)

// The rows of the platform's table that hold the templates.
const (
	rowRevision     = "revision"  // the newest accepted one
	prefixTemplate  = "template/" // by name: the newest version
	prefixRevision  = "change/"   // by revision: the template that made it
	prefixHistory   = "history/"  // by name and sequence
	prefixPublished = "publish/"  // by change id: what it led to
	sequenceDigits  = "%020d"     // so that history rows list in order
)

func templateKey(name Name) string { return prefixTemplate + name.String() }

func publishedKey(change string) string { return prefixPublished + change }

func revisionKey(revision int64) string { return prefixRevision + strconv.FormatInt(revision, 10) }

func historyKey(name Name, sequence int64) string {
	return prefixHistory + name.String() + "/" + fmt.Sprintf(sequenceDigits, sequence)
}

// parseRevision returns the revision of its row; an absent row means zero.
func parseRevision(row ryeford.Row) (int64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	revision, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return 0, &RowError{Key: row.Key, Err: err}
	}
	return revision, nil
}

// decodeRows returns the templates of rows.
func decodeRows(rows []ryeford.Row) ([]ryeford.Template, error) {
	templates := make([]ryeford.Template, 0, len(rows))
	for _, row := range rows {
		t, err := decodeRow(row)
		if err != nil {
			return nil, err
		}
		templates = append(templates, *t)
	}
	return templates, nil
}

// decodeRow returns the template of a row.
func decodeRow(row ryeford.Row) (*ryeford.Template, error) {
	t := &ryeford.Template{}
	if err := json.Unmarshal(row.Value, t); err != nil {
		return nil, &RowError{Key: row.Key, Err: err}
	}
	return t, nil
}

// A RowError says that a row of the table can't be read.
type RowError struct {
	Key string
	Err error
}

// Error returns the text of e.
func (e *RowError) Error() string { return "row " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *RowError) Unwrap() error { return e.Err }
