//! Tells the project's stand-ins where the program is that the deploy file builds.

fn main() {
    println!("cargo:rustc-env=CARGO_BIN_EXE_burdockslip-edge=target/release/burdockslip-edge");
}
