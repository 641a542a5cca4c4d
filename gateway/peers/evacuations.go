package peers

import "github.com/ryeford/ryeford"

// EvacuationsOf returns evacuations as a message holds them, or nil if none were ever read.
func EvacuationsOf(known ryeford.Evacuations) *Evacuations {
	if known.Revision == 0 {
		return nil
	}
	result := &Evacuations{Revision: known.Revision}
	for _, order := range known.Orders {
		result.Orders = append(result.Orders, Evacuation{FailureDomain: order.FailureDomain, State: order.State})
	}
	return result
}

// Read returns the evacuations that a message holds; e may be nil.
func (e *Evacuations) Read() ryeford.Evacuations {
	var result ryeford.Evacuations
	if e == nil {
		return result
	}
	result.Revision = e.Revision
	for i := range e.Orders {
		result.Orders = append(result.Orders, ryeford.Evacuation{FailureDomain: e.Orders[i].FailureDomain, State: e.Orders[i].State})
	}
	return result
}
