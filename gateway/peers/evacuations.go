package peers

import "github.com/ryeford/ryeford"

// EvacuationsOf returns evacuations as a message holds them, or nil if none were ever read.
func EvacuationsOf(known ryeford.Evacuations) *Evacuations {
	if known.Revision == 0 {
		return nil
	}
	result := &Evacuations{Era: known.Revision.Era(), Number: known.Revision.Number()}
	for _, order := range known.Orders {
		result.Orders = append(result.Orders, Evacuation{FailureDomain: order.FailureDomain, Number: order.State.Number()})
	}
	return result
}

// Read returns the evacuations that a message holds, or none, of revision zero, if it names no
// revision; e may be nil.
func (e *Evacuations) Read() ryeford.Evacuations {
	if e == nil {
		return ryeford.Evacuations{}
	}
	revision, err := ryeford.NewRevision(e.Era, e.Number)
	if err != nil {
		return ryeford.Evacuations{}
	}
	result := ryeford.Evacuations{Revision: revision}
	for i := range e.Orders {
		state, err := ryeford.NewRevision(e.Era, e.Orders[i].Number)
		if err != nil {
			return ryeford.Evacuations{}
		}
		result.Orders = append(result.Orders, ryeford.Evacuation{FailureDomain: e.Orders[i].FailureDomain, State: state})
	}
	return result
}
