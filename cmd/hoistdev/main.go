// Command hoistdev.
package main

import _ "net" // with cgo, links the program to the C library

func main() {}
