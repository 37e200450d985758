// Package hoistctl implements the command-line client of operators. Its
// commands call the operator API of an entry instance; only explain and
// completion call no instance.
//
// Exit status:
//
//	0  success
//	1  any other failure
//	2  invalid arguments
//	3  the item, request or instance does not exist
//	4  conflict: another operator changed the item first
//	5  refused: the change is not valid
//	6  no answer, or the platform is unavailable; a change may have been stored
//	7  the credential is not accepted
//	8  stored, but not in force at all live instances before the wait timed out
package hoistctl
