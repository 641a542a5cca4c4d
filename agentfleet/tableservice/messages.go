package tableservice

import "github.com/ryeford/ryeford"

// The paths of the platform's services.
const (
	PathGet      = "/table/get"
	PathList     = "/table/list"
	PathTransact = "/table/transact"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
)

// HeaderVM names the VM that calls the platform.
const HeaderVM = "X-Ryeford-VM"

// A GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// A RowsAnswer holds rows.
type RowsAnswer struct {
	Rows []ryeford.Row `json:"rows"`
}

// A ListRequest asks for the rows with a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// A TransactRequest asks for writes, all or none.
type TransactRequest struct {
	Writes []ryeford.Write `json:"writes"`
}

// A TransactAnswer holds the rows' new version or the keys in conflict.
type TransactAnswer struct {
	Version   int64    `json:"version,omitempty"`
	Conflicts []string `json:"conflicts,omitempty"`
}
