// Command standin-2 runs the cases of the second review as scripts. Each case starts entry instances as processes, with
// the run command of deploy/system.toml, on a stand-in of the users' platform: the store, the cloud API, servers and
// clients. All addresses are loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not run.
package main
