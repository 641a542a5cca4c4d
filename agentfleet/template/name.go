package template

import (
	"strings"

	"github.com/ryeford/ryeford"
)

// A Name names a template.
type Name struct {
	Account ryeford.AccountID
	Name    string
}

// String returns the name as ACCOUNT/NAME.
func (n Name) String() string { return string(n.Account) + "/" + n.Name }

// ParseName returns the name that ACCOUNT/NAME means.
func ParseName(text string) (Name, error) {
	account, name, ok := strings.Cut(text, "/")
	if !ok || account == "" || name == "" || strings.Contains(name, "/") {
		return Name{}, &ryeford.InputError{Field: "template", Problem: "want ACCOUNT/NAME"}
	}
	return Name{Account: ryeford.AccountID(account), Name: name}, nil
}
