package ryeford

// An Evacuation is the operators' order that the endpoints of a failure domain be sent no
// requests until it is withdrawn.
type Evacuation struct {
	FailureDomain string
	// State tells the orders for one failure domain apart.
	State Revision
}

// Evacuations are all such orders as of a revision of the operators' source.
type Evacuations struct {
	Revision Revision
	// Orders are sorted by failure domain.
	Orders []Evacuation
}

// Has reports whether there is an order for a failure domain.
func (e *Evacuations) Has(domain string) bool {
	for i := range e.Orders {
		if e.Orders[i].FailureDomain == domain {
			return true
		}
	}
	return false
}
