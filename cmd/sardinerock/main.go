// Command sardinerock serves online and batch model inference on one fleet.
package main

func main() {
}
