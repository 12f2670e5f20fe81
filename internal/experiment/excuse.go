package experiment

import "time"

// excuse permits verdicts of failure on members that a fault makes unreachable, during the fault and until the verdicts
// have had time to spread.
type excuse struct {
	fault              *membershipFault
	faultEnd, graceEnd time.Duration // end of the fault, and of the verdictGracePeriod after it
}

// verdictGracePeriod is how long after the end of a fault the verdicts that it caused may still spread.
const verdictGracePeriod = 5 * time.Second

// maxToleratedPause is the longest pause of a process that must not lead to a verdict of failure.
const maxToleratedPause = time.Second

// newExcuses returns the excuses of a fault that starts now and ends at end.
func (f *membershipFault) newExcuses(now, end time.Duration) (out []excuse) {
	if f.Kind == faultPause && end-now > maxToleratedPause || len(f.Excuses) > 0 {
		out = append(out, excuse{f, end, end + verdictGracePeriod})
	}
	return out
}

// excuses reports whether observer may consider accused failed while the fault lasts, in a fleet of n members.
func (f *membershipFault) excuses(observer, accused, n int) bool {
	if f.Kind == faultPause {
		return f.Members.matches(accused, n)
	}
	for _, s := range f.Excuses {
		if s.matches(accused, n) && !s.matches(observer, n) {
			return true
		}
	}
	return false
}

// isExcused reports whether any excuse permits observer to consider accused failed now, in a fleet of n members.
func isExcused(excuses []excuse, now time.Duration, observer, accused, n int) bool {
	for _, excuse := range excuses {
		if now < excuse.faultEnd && excuse.fault.excuses(observer, accused, n) {
			return true
		}
		for i := 0; now >= excuse.faultEnd && now < excuse.graceEnd && i < n; i++ {
			if excuse.fault.excuses(i, accused, n) {
				return true
			}
		}
	}
	return false
}
