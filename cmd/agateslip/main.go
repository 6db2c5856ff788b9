// Command agateslip is every process of the system: entry nodes, their tools
// and the demonstration.
package main

func main() {}
