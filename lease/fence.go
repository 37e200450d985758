package lease

import "knapweedhoist/objectapi"

// eraShift is the number of low bits of a fencing token that order the tokens of one era of the store. The bits above have the
// era: tokens of an era are above those of the earlier ones, of which the store may have lost some.
const eraShift = 40

// fenceEra returns the era in which a fencing token was made, 0 if the store named none.
func fenceEra(fence uint64) objectapi.Era { return objectapi.Era(fence >> eraShift) }

// nextFence returns the token of a write that gives the lease to another holder, or raises the token of the holder. replaced is
// the version of the record that the write replaces, 0 for none; highest is the highest token observed, in this era or an
// earlier one. Versions rise within an era, so that the token is above those of all former holders, also of one whose record
// a late write of an earlier era has replaced before this instance read it.
func nextFence(highest uint64, era objectapi.Era, replaced objectapi.Version) uint64 {
	if era == 0 {
		return highest + 1
	}
	low := min(uint64(replaced)+1, 1<<eraShift-1)
	return max(highest+1, uint64(era)<<eraShift|low)
}
