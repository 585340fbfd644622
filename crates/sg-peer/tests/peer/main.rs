//! Shows that instances find each other, agree on the configuration and know when they can't know.

mod accepting;
mod broken;
mod fleet;
mod gate;
mod loopback;
mod net;
mod protocol;
mod random;
mod spreading;
