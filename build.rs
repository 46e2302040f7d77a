//! Compiles the gRPC protocol between controllers (`proto/peer.proto`) in pure Rust, so that
//! a build does not need `protoc` to be installed. `transport::peer` includes the generated
//! code.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(descriptors)?;
    Ok(())
}
