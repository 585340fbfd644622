//! Tests that instances find each other, agree on the configuration, and detect when they may have
//! missed a change.

mod accepting;
mod broken;
mod fleet;
mod gate;
mod loopback;
mod net;
mod protocol;
mod random;
mod spreading;
