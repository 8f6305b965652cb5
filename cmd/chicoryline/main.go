// Command chicoryline is a database proxy with session consistency.
package main

func main() {}
