// Command fulmard runs the roles of a fulmarmount process.
package main

func main() {}
