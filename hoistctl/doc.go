// Package hoistctl is the operators' command line. It calls the operator API
// of an entry instance.
//
// Exit status:
//
//	0  done
//	1  failed for another reason
//	2  wrong usage
//	3  the item, request or instance does not exist
//	4  conflict: another operator changed the item first
//	5  refused: the change is not valid
//	6  no answer, or the platform is unavailable; a change may have been stored
//	7  wrong credential
//	8  stored, but not in force everywhere within the wait
package hoistctl
