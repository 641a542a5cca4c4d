package ryeford

// An Evacuation is an order by the operators to send no requests to the endpoints of a failure
// domain until the order is withdrawn. Routers send it to each other as CBOR under the names of its
// fields.
type Evacuation struct {
	FailureDomain string
	// State is the revision of the order. It distinguishes successive orders for one failure
	// domain.
	State Revision
}

// Evacuations are all evacuations in force as of a revision of the operators' source. Routers send
// them to each other as CBOR under the names of the fields.
type Evacuations struct {
	Revision Revision
	// Orders is sorted by failure domain.
	Orders []Evacuation
}

// Has reports whether a failure domain is evacuated.
func (e *Evacuations) Has(domain string) bool {
	for i := range e.Orders {
		if e.Orders[i].FailureDomain == domain {
			return true
		}
	}
	return false
}
