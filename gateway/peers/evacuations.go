package peers

import "github.com/ryeford/ryeford"

// EncodeEvacuations returns the message form of evacuations, or nil if they were never read.
func EncodeEvacuations(known ryeford.Evacuations) *Evacuations {
	if known.Revision == 0 {
		return nil
	}
	result := &Evacuations{Era: known.Revision.Era(), Number: known.Revision.Number()}
	for _, order := range known.Orders {
		result.Orders = append(result.Orders, Evacuation{FailureDomain: order.FailureDomain, Number: order.State.Number()})
	}
	return result
}

// Decode returns the evacuations of a message. The result is empty, with revision zero, if e is
// nil or holds an invalid revision.
func (e *Evacuations) Decode() ryeford.Evacuations {
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
