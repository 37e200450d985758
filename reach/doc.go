// Package reach decides whether an instance has lost its paths to all endpoints, and which other instances still have theirs.
//
// Load pattern: the network between some instances and all endpoints fails for seconds, while callers, the store and the other
// instances still reach them. Without a path of its own an instance can serve its callers only through another instance, and
// attempts at endpoints only take its callers' time.
//
// An instance counts as cut off once several endpoints did not answer in a row and none has answered meanwhile. A few endpoints that
// crash, or one that is silent, are no reason. Nothing else depends on the decision: a request that is passed on
// without need is served all the same.
package reach
