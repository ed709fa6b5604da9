/** Serialization of records and sealed interfaces to JSON and MessagePack. */
package org.acaciafold.core.codec;
