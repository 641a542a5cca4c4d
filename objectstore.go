package ryeford

import "context"

// An ObjectStore is the platform's object store. A failure is an *UnavailableError.
type ObjectStore interface {
	// GetObject returns an object's content, or a *NotFoundError.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object whole.
	PutObject(ctx context.Context, name string, content []byte) error
}
